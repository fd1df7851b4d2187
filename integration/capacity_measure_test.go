//go:build capacity

package integration

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"kingcupcourse/internal/capacity"
)

// clockTick is the unit of the processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

const kibibyte = 1024

// sample is what one process had used at a moment.
type sample struct {
	processor time.Duration
	// resident is all memory of the process; private leaves out the pages of
	// its program file.
	resident, private int64
	files             int
	metrics           map[string]float64
	// moved is what the process has read and written, all connections
	// included, before and after the metrics were read.
	movedBefore, movedAfter moved
}

// moved is bytes read and written.
type moved struct{ read, written float64 }

func movedBy(folder string) (m moved) {
	text, _ := os.ReadFile(filepath.Join(folder, "io"))
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		number, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "rchar":
			m.read = number
		case "wchar":
			m.written = number
		}
	}
	return m
}

// sampleOf reads a process's use of the machine and its metrics.
func (c *cluster) sampleOf(p *process, admin string) sample {
	c.t.Helper()
	folder := fmt.Sprintf("/proc/%d", p.running.Process.Pid)
	stat, err := os.ReadFile(filepath.Join(folder, "stat"))
	if err != nil {
		c.t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	s := sample{processor: time.Duration(user+system) * clockTick}
	status, _ := os.ReadFile(filepath.Join(folder, "status"))
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		number, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch name {
		case "VmRSS":
			s.resident = number * kibibyte
		case "RssAnon":
			s.private = number * kibibyte
		}
	}
	files, _ := os.ReadDir(filepath.Join(folder, "fd"))
	s.files = len(files)
	s.movedBefore = movedBy(folder)
	s.metrics = c.metricsOf(admin)
	s.movedAfter = movedBy(folder)
	return s
}

// metricsOf reads the metrics of a process, summed over their labels.
func (c *cluster) metricsOf(admin string) map[string]float64 {
	c.t.Helper()
	response, err := c.client.Get("http://" + admin + "/metrics")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	sums := map[string]float64{}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		series, text, ok := strings.Cut(scanner.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			continue
		}
		name, _, _ := strings.Cut(series, "{")
		sums[name] += value
	}
	return sums
}

// roles names the roles in the order of samples.
var roles = []string{"entry", "scheduler", "rollout"}

// sampleHosts samples the processes of all hosts, by role.
func (c *cluster) sampleHosts() map[string][]sample {
	samples := map[string][]sample{}
	for _, h := range c.hosts {
		samples["entry"] = append(samples["entry"], c.sampleOf(h.entry, h.entryAdmin))
		samples["scheduler"] = append(samples["scheduler"], c.sampleOf(h.scheduler, h.schedulerAdmin))
		samples["rollout"] = append(samples["rollout"], c.sampleOf(h.rollout, h.rolloutAdmin))
	}
	return samples
}

// calls is what the platform counted.
type calls struct{ Writes, Reads, Watches, Conflicts, Limited float64 }

func (c *cluster) platformCalls() calls {
	c.t.Helper()
	var counted calls
	if err := c.get(c.admin+"/platform/admin/stats", &counted); err != nil {
		c.t.Fatal(err)
	}
	return counted
}

// window is what was used between two moments.
type window struct {
	took         time.Duration
	before, last map[string][]sample
	from, to     calls
}

// measure samples before and after the work.
func (c *cluster) measure(work func()) window {
	w := window{from: c.platformCalls(), before: c.sampleHosts()}
	began := time.Now()
	work()
	w.took = time.Since(began)
	w.last, w.to = c.sampleHosts(), c.platformCalls()
	return w
}

// core returns the processor use of one process in percent of a core.
func (w *window) core(role string, i int) float64 {
	return 100 * float64(w.last[role][i].processor-w.before[role][i].processor) / float64(w.took)
}

// rate returns how much a metric of one process rose a second.
func (w *window) rate(role string, i int, metric string) float64 {
	return (w.last[role][i].metrics[metric] - w.before[role][i].metrics[metric]) / w.took.Seconds()
}

// written and read return the bytes a second that a process wrote and read.
func (w *window) written(role string, i int) float64 {
	return (w.last[role][i].movedBefore.written - w.before[role][i].movedAfter.written) / w.took.Seconds()
}

func (w *window) read(role string, i int) float64 {
	return (w.last[role][i].movedBefore.read - w.before[role][i].movedAfter.read) / w.took.Seconds()
}

// mean returns the mean over the processes of a role.
func (w *window) mean(role string, value func(i int) float64) float64 {
	sum := 0.0
	for i := range w.last[role] {
		sum += value(i) / float64(len(w.last[role]))
	}
	return sum
}

const mebibyte = 1 << 20

// addHost adds what a mean host spends, by role and in all.
func (w *window) addHost(s *capacity.Series, x float64) {
	var core, resident, private, bytes, calls, written, read float64
	for _, role := range roles {
		roleCore := w.mean(role, func(i int) float64 { return w.core(role, i) })
		roleResident := w.mean(role, func(i int) float64 { return float64(w.last[role][i].resident) / mebibyte })
		s.Add(role+" core %", x, roleCore)
		s.Add(role+" resident MiB", x, roleResident)
		core, resident = core+roleCore, resident+roleResident
		private += w.mean(role, func(i int) float64 { return float64(w.last[role][i].private) / mebibyte })
		bytes += w.mean(role, func(i int) float64 { return w.rate(role, i, "kingcup_control_bytes_total") })
		written += w.mean(role, func(i int) float64 { return w.written(role, i) })
		read += w.mean(role, func(i int) float64 { return w.read(role, i) })
		calls += w.mean(role, func(i int) float64 { return w.rate(role, i, "kingcup_gossip_calls_total") })
	}
	s.Add("host core %", x, core)
	s.Add("host resident MiB", x, resident)
	s.Add("host private MiB", x, private)
	s.Add("host gossip bytes/s sent", x, bytes)
	s.Add("host bytes/s written, all calls", x, written)
	s.Add("host bytes/s read, all calls", x, read)
	s.Add("host reports/s", x, w.mean("entry", func(i int) float64 { return w.rate("entry", i, "kingcup_entry_reports_total") }))
	s.Add("host gossip calls/s", x, calls)
	s.Add("entry open files", x, w.mean("entry", func(i int) float64 { return float64(w.last["entry"][i].files) }))
}

// addPlatform adds the calls a second that the platform counted.
func (w *window) addPlatform(s *capacity.Series, x float64) {
	s.Add("platform writes/s", x, (w.to.Writes-w.from.Writes)/w.took.Seconds())
	s.Add("platform reads/s", x, (w.to.Reads-w.from.Reads)/w.took.Seconds())
	s.Add("platform watch calls/s", x, (w.to.Watches-w.from.Watches)/w.took.Seconds())
}

// save writes the measurements beside the page.
func save(t *testing.T, name string, s *capacity.Series) {
	t.Helper()
	if err := s.Write(filepath.Join("..", "docs", "capacity", name+".csv")); err != nil {
		t.Error(err)
	}
	t.Logf("\n%s", capacity.Table(s, 0))
}

// keepConnections lets callers reuse their connections.
func (c *cluster) keepConnections() {
	const perHost = 512
	c.client.Transport = &http.Transport{MaxIdleConnsPerHost: perHost}
}
