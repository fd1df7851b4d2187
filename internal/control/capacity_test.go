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

// runningControls is the number of Controls that run. The other members exist only
// as facts with the addresses of the Controls, so that each Control has the
// gossip traffic of a member of a large system.
const runningControls = 4

const (
	measureWindow = 12 * time.Second
	settleTime    = 7 * time.Second
)

// idlePlatform starts a platform that holds one manifest and ends each long
// watch without changes when its time is up.
func idlePlatform(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		changes := platform.Changes{Revision: 1}
		if query.Get("prefix") == manifestKey && query.Get("after") == "0" {
			changes.Objects = []platform.Object{{Key: manifestKey, Version: 1, Value: testManifest("one")}}
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

// fleet holds the running Controls with their metrics.
type fleet struct {
	t         *testing.T
	addresses []string
	platform  string
	registry  *prometheus.Registry
	controls  int
}

func newFleet(t *testing.T, controls int) *fleet {
	f := &fleet{t: t, platform: idlePlatform(t), registry: prometheus.NewRegistry(), controls: controls}
	listeners, addresses := newListeners(t, controls)
	f.addresses = addresses
	for i, l := range listeners {
		f.serve(l.Addr().String(), fmt.Sprint("real-", i), f.registry, &httptest.Server{Listener: l})
	}
	return f
}

// serve runs a Control on the server, which it starts.
func (f *fleet) serve(address, host string, registry *prometheus.Registry, server *httptest.Server) *Control {
	c := New(Options{
		Settings: settings.Common{Host: host, Region: "r", AvailabilityZone: "a", Control: address, Peers: f.addresses[:runningControls]},
		Role:     message.RoleScheduler, Log: zap.NewNop(), Platform: platform.New(f.platform),
		Metrics: prometheus.WrapRegistererWith(prometheus.Labels{"host": host}, registry)})
	mux := http.NewServeMux()
	c.RegisterHandlers(mux)
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

// memberFact returns the announcement of a member that exists only as a fact.
func (f *fleet) memberFact(i int, now time.Time) message.Fact {
	m := message.Member{Host: fmt.Sprintf("host-%04d", i/3), Role: []message.Role{message.RoleEntry, message.RoleScheduler,
		message.RoleRollout}[i%3], Region: "r", AvailabilityZone: "a", Address: f.addresses[i%runningControls]}
	return message.Fact{Kind: message.FactMember, Key: m.Host + "/" + string(m.Role), Rank: uint64(now.UnixMilli()),
		ExpiresUnixMS: now.Add(time.Hour).UnixMilli(), Value: encodeValue(m)}
}

// sendFacts sends facts to a Control.
func (f *fleet) sendFacts(to int, list []message.Fact) {
	var reply message.Gossip
	err := codec.Call(f.t.Context(), http.DefaultClient, f.addresses[to], message.PathGossip,
		message.Gossip{From: f.addresses[0], Facts: list}, &reply)
	if err != nil {
		f.t.Fatal(err)
	}
}

// metricTotal returns the sum of a metric over all series.
func metricTotal(t *testing.T, registry *prometheus.Registry, name string) float64 {
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

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measure adds the processor time and the traffic of one Control at x, while
// announcements of members arrive at the given rate per second.
func (f *fleet) measure(s *capacity.Series, x, rate float64, members int) {
	cpu, sent := cpuTime(), metricTotal(f.t, f.registry, "kingcup_control_bytes_total")
	gossip := metricTotal(f.t, f.registry, "kingcup_gossip_calls_total")
	start := time.Now()
	for n := 0; time.Since(start) < measureWindow; n++ {
		if rate == 0 {
			time.Sleep(measureWindow)
			break
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
		f.sendFacts(n%runningControls, []message.Fact{f.memberFact(n%members, time.Now())})
	}
	elapsed := time.Since(start)
	s.Add("core % of one process", x, 100*float64(cpuTime()-cpu)/float64(elapsed)/float64(f.controls))
	s.Add("bytes/s sent by one process", x,
		(metricTotal(f.t, f.registry, "kingcup_control_bytes_total")-sent)/elapsed.Seconds()/float64(f.controls))
	s.Add("gossip calls/s of one process", x,
		(metricTotal(f.t, f.registry, "kingcup_gossip_calls_total")-gossip)/elapsed.Seconds()/float64(f.controls))
}

// TestCapacityMembers measures the heap, processor time and traffic of one process
// by the number of known members, and the bytes that a joining process transfers.
func TestCapacityMembers(t *testing.T) {
	var s capacity.Series
	for _, members := range []int{20, 250, 500, 1140, 2280} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			f := newFleet(t, runningControls)
			time.Sleep(time.Second)
			before := heapBytes()
			now := time.Now()
			var list []message.Fact
			for i := range members {
				list = append(list, f.memberFact(i, now))
			}
			for i := range runningControls {
				f.sendFacts(i, list)
			}
			list = nil
			time.Sleep(settleTime)
			s.Add("heap MiB of one process for members", float64(members), (heapBytes()-before)/runningControls/(1<<20))
			f.measure(&s, float64(members), 0, members)
			f.measureJoin(&s, members)
		})
	}
	writeSeries(t, "members", &s)
}

// measureJoin starts another Control and adds the time and the bytes until it has
// learned everything.
func (f *fleet) measureJoin(s *capacity.Series, members int) {
	listeners, addresses := newListeners(f.t, 1)
	registry := prometheus.NewRegistry()
	c := f.serve(addresses[0], "joining", registry, &httptest.Server{Listener: listeners[0]})
	start := time.Now()
	for !c.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	s.Add("s until a joining process is ready", float64(members), time.Since(start).Seconds())
	time.Sleep(2 * time.Second)
	s.Add("kB of a joining process", float64(members), metricTotal(f.t, registry, "kingcup_control_bytes_total")/1000)
}

// TestCapacityNews measures the processor time and traffic of one process by the
// rate of new facts, at the target number of members.
func TestCapacityNews(t *testing.T) {
	const members = 1140
	var s capacity.Series
	f := newFleet(t, runningControls)
	time.Sleep(time.Second)
	now := time.Now()
	var list []message.Fact
	for i := range members {
		list = append(list, f.memberFact(i, now))
	}
	for i := range runningControls {
		f.sendFacts(i, list)
	}
	time.Sleep(settleTime)
	for _, rate := range []float64{0, 1, 2, 4, 8} {
		f.measure(&s, rate, rate, members)
	}
	writeSeries(t, "news", &s)
}

// TestCapacityControls measures the cost of connections, which are kept for 30 s, by
// the number of peers, with all Controls running in one process.
func TestCapacityControls(t *testing.T) {
	const idleTime = 32 * time.Second
	var s capacity.Series
	for _, controls := range []int{7, 14, 28, 56} {
		t.Run(fmt.Sprint(controls), func(t *testing.T) {
			before, goroutines := heapBytes(), runtime.NumGoroutine()
			f := newFleet(t, controls)
			time.Sleep(idleTime)
			x := float64(controls)
			f.measure(&s, x, 0, 0)
			s.Add("heap MiB of one Control", x, (heapBytes()-before)/x/(1<<20))
			s.Add("goroutines of one Control", x, float64(runtime.NumGoroutine()-goroutines)/x)
			files, _ := os.ReadDir("/proc/self/fd")
			s.Add("open files of one Control", x, float64(len(files))/x)
			s.Add("members known", x, metricTotal(t, f.registry, "kingcup_members")/x)
		})
	}
	writeSeries(t, "controls", &s)
}

func writeSeries(t *testing.T, name string, s *capacity.Series) {
	t.Helper()
	if err := s.Write(filepath.Join("..", "..", "docs", "capacity", name+".csv")); err != nil {
		t.Error(err)
	}
	t.Logf("\n%s", capacity.Table(s, 0))
}
