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

// clockTick is the unit of the CPU times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

const kibibyte = 1024

// sample holds the resource usage and metrics of one process at one time.
type sample struct {
	cpuTime time.Duration
	// resident is the resident set size; private is its anonymous part, without
	// file-backed pages such as the program's code.
	resident, private int64
	openFiles         int
	metrics           map[string]float64
	// ioBefore and ioAfter count the bytes that the process had read and
	// written, connections included, before and after its metrics were read.
	ioBefore, ioAfter ioBytes
}

// ioBytes counts bytes read and written.
type ioBytes struct{ read, written float64 }

func readIOBytes(folder string) (m ioBytes) {
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

// sampleProcess reads the resource usage of a process and its metrics.
func (c *cluster) sampleProcess(p *process, admin string) sample {
	c.t.Helper()
	folder := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	stat, err := os.ReadFile(filepath.Join(folder, "stat"))
	if err != nil {
		c.t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	s := sample{cpuTime: time.Duration(user+system) * clockTick}
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
	s.openFiles = len(files)
	s.ioBefore = readIOBytes(folder)
	s.metrics = c.readMetrics(admin)
	s.ioAfter = readIOBytes(folder)
	return s
}

// readMetrics reads the metrics of a process and sums each over its labels.
func (c *cluster) readMetrics(admin string) map[string]float64 {
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

// roles lists the roles of the processes of a host.
var roles = []string{"entry", "scheduler", "rollout"}

// sampleHosts samples the processes of all hosts, by role.
func (c *cluster) sampleHosts() map[string][]sample {
	samples := map[string][]sample{}
	for _, h := range c.hosts {
		samples["entry"] = append(samples["entry"], c.sampleProcess(h.entry, h.entryAdmin))
		samples["scheduler"] = append(samples["scheduler"], c.sampleProcess(h.scheduler, h.schedulerAdmin))
		samples["rollout"] = append(samples["rollout"], c.sampleProcess(h.rollout, h.rolloutAdmin))
	}
	return samples
}

// platformCallCounts holds the platform's own counters of calls.
type platformCallCounts struct{ Writes, Reads, Watches, Conflicts, Limited float64 }

func (c *cluster) platformCalls() platformCallCounts {
	c.t.Helper()
	var counted platformCallCounts
	if err := c.getJSON(c.adminURL+"/platform/admin/stats", &counted); err != nil {
		c.t.Fatal(err)
	}
	return counted
}

// measurement holds the samples at the start and at the end of an interval.
type measurement struct {
	duration                time.Duration
	before, after           map[string][]sample
	callsBefore, callsAfter platformCallCounts
}

// measure runs work and samples all processes before and after it.
func (c *cluster) measure(work func()) measurement {
	m := measurement{callsBefore: c.platformCalls(), before: c.sampleHosts()}
	start := time.Now()
	work()
	m.duration = time.Since(start)
	m.after, m.callsAfter = c.sampleHosts(), c.platformCalls()
	return m
}

// corePercent returns the CPU usage of one process in percent of one core.
func (m *measurement) corePercent(role string, i int) float64 {
	return 100 * float64(m.after[role][i].cpuTime-m.before[role][i].cpuTime) / float64(m.duration)
}

// metricRate returns the increase per second of a metric of one process.
func (m *measurement) metricRate(role string, i int, metric string) float64 {
	return (m.after[role][i].metrics[metric] - m.before[role][i].metrics[metric]) / m.duration.Seconds()
}

// writeRate returns the bytes per second that a process wrote. The calls that
// read its metrics are not counted.
func (m *measurement) writeRate(role string, i int) float64 {
	return (m.after[role][i].ioBefore.written - m.before[role][i].ioAfter.written) / m.duration.Seconds()
}

// readRate returns the bytes per second that a process read. The calls that
// read its metrics are not counted.
func (m *measurement) readRate(role string, i int) float64 {
	return (m.after[role][i].ioBefore.read - m.before[role][i].ioAfter.read) / m.duration.Seconds()
}

// mean returns the mean of value over the processes of a role.
func (m *measurement) mean(role string, value func(i int) float64) float64 {
	sum := 0.0
	for i := range m.after[role] {
		sum += value(i) / float64(len(m.after[role]))
	}
	return sum
}

const mebibyte = 1 << 20

// addHostUsage adds the mean resource usage per host, by role and in total.
func (m *measurement) addHostUsage(s *capacity.Series, x float64) {
	var core, resident, private, bytes, calls, written, read float64
	for _, role := range roles {
		roleCore := m.mean(role, func(i int) float64 { return m.corePercent(role, i) })
		roleResident := m.mean(role, func(i int) float64 { return float64(m.after[role][i].resident) / mebibyte })
		s.Add(role+" core %", x, roleCore)
		s.Add(role+" resident MiB", x, roleResident)
		core, resident = core+roleCore, resident+roleResident
		private += m.mean(role, func(i int) float64 { return float64(m.after[role][i].private) / mebibyte })
		bytes += m.mean(role, func(i int) float64 { return m.metricRate(role, i, "kingcup_control_bytes_total") })
		written += m.mean(role, func(i int) float64 { return m.writeRate(role, i) })
		read += m.mean(role, func(i int) float64 { return m.readRate(role, i) })
		calls += m.mean(role, func(i int) float64 { return m.metricRate(role, i, "kingcup_gossip_calls_total") })
	}
	s.Add("host core %", x, core)
	s.Add("host resident MiB", x, resident)
	s.Add("host private MiB", x, private)
	s.Add("host gossip bytes/s sent", x, bytes)
	s.Add("host bytes/s written, all calls", x, written)
	s.Add("host bytes/s read, all calls", x, read)
	s.Add("host reports/s", x, m.mean("entry", func(i int) float64 { return m.metricRate("entry", i, "kingcup_entry_reports_total") }))
	s.Add("host gossip calls/s", x, calls)
	s.Add("entry open files", x, m.mean("entry", func(i int) float64 { return float64(m.after["entry"][i].openFiles) }))
}

// addPlatformRates adds the calls per second that the platform counted.
func (m *measurement) addPlatformRates(s *capacity.Series, x float64) {
	s.Add("platform writes/s", x, (m.callsAfter.Writes-m.callsBefore.Writes)/m.duration.Seconds())
	s.Add("platform reads/s", x, (m.callsAfter.Reads-m.callsBefore.Reads)/m.duration.Seconds())
	s.Add("platform watch calls/s", x, (m.callsAfter.Watches-m.callsBefore.Watches)/m.duration.Seconds())
}

// saveSeries writes the measurements to the folder of the capacity page and
// logs them.
func saveSeries(t *testing.T, name string, s *capacity.Series) {
	t.Helper()
	if err := s.Write(filepath.Join("..", "docs", "capacity", name+".csv")); err != nil {
		t.Error(err)
	}
	t.Logf("\n%s", capacity.Table(s, 0))
}

// reuseConnections keeps enough idle connections open for callers to reuse
// them.
func (c *cluster) reuseConnections() {
	const perHost = 512
	c.client.Transport = &http.Transport{MaxIdleConnsPerHost: perHost}
}
