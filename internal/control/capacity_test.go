//go:build capacity

package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kingcupcourse/internal/capacity"
	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/settings"
)

// realControls is how many Controls run. The other members are facts whose
// addresses are those of the Controls, so that each Control has the gossip of
// a member of a large system.
const realControls = 4

const (
	factsWindow = 12 * time.Second
	factsRest   = 7 * time.Second
)

// quietPlatform has one manifest and answers each long watch at its end.
func quietPlatform(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		changes := platform.Changes{Revision: 1}
		if query.Get("prefix") == watchManifest && query.Get("after") == "0" {
			changes.Objects = []platform.Object{{Key: watchManifest, Version: 1, Value: manifestOf("one")}}
			_ = json.NewEncoder(w).Encode(changes)
			return
		}
		wait, _ := strconv.Atoi(query.Get("timeout_ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		_ = json.NewEncoder(w).Encode(changes)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.URL
}

// fleet is the running Controls with their metrics.
type fleet struct {
	t         *testing.T
	addresses []string
	platform  string
	registry  *prometheus.Registry
	controls  int
}

func newFleet(t *testing.T, controls int) *fleet {
	f := &fleet{t: t, platform: quietPlatform(t), registry: prometheus.NewRegistry(), controls: controls}
	listeners, addresses := listen(t, controls)
	f.addresses = addresses
	for i, l := range listeners {
		f.serve(l.Addr().String(), fmt.Sprint("real-", i), f.registry, &httptest.Server{Listener: l})
	}
	return f
}

// serve runs a Control on a server that is not yet started.
func (f *fleet) serve(address, host string, registry *prometheus.Registry, server *httptest.Server) *Control {
	c := New(Options{
		Settings: settings.Common{Host: host, Region: "r", AvailabilityZone: "a", Control: address, Peers: f.addresses[:realControls]},
		Role:     message.RoleScheduler, Log: zap.NewNop(), Platform: platform.New(f.platform),
		Metrics: prometheus.WrapRegistererWith(prometheus.Labels{"host": host}, registry)})
	mux := http.NewServeMux()
	c.Register(mux)
	server.Config = &http.Server{Handler: mux}
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	ended := ring.NewReply[error]()
	go func() { ended.Send(c.Supervisor().Serve(ctx)) }()
	f.t.Cleanup(func() {
		cancel()
		_, _ = ended.Wait(context.Background())
		server.CloseClientConnections()
		server.Close()
	})
	return c
}

// member returns the announcement of a member that is only a fact.
func (f *fleet) member(i int, now time.Time) message.Fact {
	m := message.Member{Host: fmt.Sprintf("host-%04d", i/3), Role: []message.Role{message.RoleEntry, message.RoleScheduler,
		message.RoleRollout}[i%3], Region: "r", AvailabilityZone: "a", Address: f.addresses[i%realControls]}
	return message.Fact{Kind: message.FactMember, Key: m.Host + "/" + string(m.Role), Rank: uint64(now.UnixMilli()),
		ExpiresUnixMS: now.Add(time.Hour).UnixMilli(), Value: encodeValue(m)}
}

// tell sends facts to one Control.
func (f *fleet) tell(to int, list []message.Fact) {
	var reply message.Gossip
	err := codec.Call(f.t.Context(), http.DefaultClient, f.addresses[to], message.PathGossip,
		message.Gossip{From: f.addresses[0], Facts: list}, &reply)
	if err != nil {
		f.t.Fatal(err)
	}
}

// sum returns the sum of a metric over all series.
func sum(t *testing.T, registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	total := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, m := range family.GetMetric() {
			total += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return total
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// window adds what one Control spends while announcements of members arrive
// at so many a second.
func (f *fleet) window(s *capacity.Series, x, announcements float64, members int) {
	cpu, sent := processorTime(), sum(f.t, f.registry, "kingcup_control_bytes_total")
	gossip := sum(f.t, f.registry, "kingcup_gossip_calls_total")
	began := time.Now()
	for n := 0; time.Since(began) < factsWindow; n++ {
		if announcements == 0 {
			time.Sleep(factsWindow)
			break
		}
		time.Sleep(time.Duration(float64(time.Second) / announcements))
		f.tell(n%realControls, []message.Fact{f.member(n%members, time.Now())})
	}
	took := time.Since(began)
	s.Add("core % of one process", x, 100*float64(processorTime()-cpu)/float64(took)/float64(f.controls))
	s.Add("bytes/s sent by one process", x,
		(sum(f.t, f.registry, "kingcup_control_bytes_total")-sent)/took.Seconds()/float64(f.controls))
	s.Add("gossip calls/s of one process", x,
		(sum(f.t, f.registry, "kingcup_gossip_calls_total")-gossip)/took.Seconds()/float64(f.controls))
}

// Members known: heap, processor time and bytes of one process, and the
// bytes that a process gets when it joins.
func TestCapacityMembers(t *testing.T) {
	var s capacity.Series
	for _, members := range []int{20, 250, 500, 1140, 2280} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			f := newFleet(t, realControls)
			time.Sleep(time.Second)
			before := heap()
			now := time.Now()
			var list []message.Fact
			for i := range members {
				list = append(list, f.member(i, now))
			}
			for i := range realControls {
				f.tell(i, list)
			}
			list = nil
			time.Sleep(factsRest)
			s.Add("heap MiB of one process for members", float64(members), (heap()-before)/realControls/(1<<20))
			f.window(&s, float64(members), 0, members)
			f.join(&s, members)
		})
	}
	write(t, "members", &s)
}

// join starts one more Control and adds what it took to learn everything.
func (f *fleet) join(s *capacity.Series, members int) {
	listeners, addresses := listen(f.t, 1)
	registry := prometheus.NewRegistry()
	c := f.serve(addresses[0], "joining", registry, &httptest.Server{Listener: listeners[0]})
	began := time.Now()
	for !c.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	s.Add("s until a joining process is ready", float64(members), time.Since(began).Seconds())
	time.Sleep(2 * time.Second)
	s.Add("kB of a joining process", float64(members), sum(f.t, registry, "kingcup_control_bytes_total")/1000)
}

// News in the system: what one process spends for each fact a second, with
// the members of the target.
func TestCapacityNews(t *testing.T) {
	const members = 1140
	var s capacity.Series
	f := newFleet(t, realControls)
	time.Sleep(time.Second)
	now := time.Now()
	var list []message.Fact
	for i := range members {
		list = append(list, f.member(i, now))
	}
	for i := range realControls {
		f.tell(i, list)
	}
	time.Sleep(factsRest)
	for _, rate := range []float64{0, 1, 2, 4, 8} {
		f.window(&s, rate, rate, members)
	}
	write(t, "news", &s)
}

// Controls that are all real, in one process: the cost of connections to
// ever more peers, which are kept for 30 s.
func TestCapacityControls(t *testing.T) {
	const rest = 32 * time.Second
	var s capacity.Series
	for _, controls := range []int{7, 14, 28, 56} {
		t.Run(fmt.Sprint(controls), func(t *testing.T) {
			before, goroutines := heap(), runtime.NumGoroutine()
			f := newFleet(t, controls)
			time.Sleep(rest)
			x := float64(controls)
			f.window(&s, x, 0, 0)
			s.Add("heap MiB of one Control", x, (heap()-before)/x/(1<<20))
			s.Add("goroutines of one Control", x, float64(runtime.NumGoroutine()-goroutines)/x)
			files, _ := os.ReadDir("/proc/self/fd")
			s.Add("open files of one Control", x, float64(len(files))/x)
			s.Add("members known", x, sum(t, f.registry, "kingcup_members")/x)
		})
	}
	write(t, "controls", &s)
}

func write(t *testing.T, name string, s *capacity.Series) {
	t.Helper()
	if err := s.Write(filepath.Join("..", "..", "docs", "capacity", name+".csv")); err != nil {
		t.Error(err)
	}
	t.Logf("\n%s", capacity.Table(s, 0))
}
