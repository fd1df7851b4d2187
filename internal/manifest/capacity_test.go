//go:build capacity

package manifest

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"

	"kingcupcourse/internal/capacity"
	"kingcupcourse/internal/core"
)

// manifestWithAccounts returns a manifest with this many client accounts, and
// the pools, endpoints and routes of a system of the target size.
func manifestWithAccounts(accounts int) []byte {
	const pools, endpoints = 20, 36
	m := Manifest{Deployment: "capacity", Regions: []Region{
		{Name: "north", AvailabilityZones: []core.AvailabilityZone{"north-a", "north-b", "north-c", "north-d"}},
		{Name: "south", AvailabilityZones: []core.AvailabilityZone{"south-a", "south-b", "south-c", "south-d"}}}}
	for i := range accounts {
		m.ClientAccounts = append(m.ClientAccounts, ClientAccount{Name: fmt.Sprintf("account-%05d", i),
			KeySHA256: []string{fmt.Sprintf("%064x", i+1)}, MaxTier: 2, Weight: 1})
	}
	for i := range pools {
		pool := Pool{Name: fmt.Sprintf("model-%02d", i), Kind: core.KindModel}
		for j := range endpoints {
			region := m.Regions[j%2]
			pool.Endpoints = append(pool.Endpoints, Endpoint{Name: fmt.Sprintf("engine-%02d-%02d", i, j),
				Address: fmt.Sprintf("10.0.%d.%d:8000", i, j), AvailabilityZone: region.AvailabilityZones[j/2%4],
				Version: "v1", Slots: 64, PrefillRate: 8000, DecodeRate: 50})
		}
		m.Pools = append(m.Pools, pool)
		m.Routes = append(m.Routes, Route{Name: pool.Name, Pool: pool.Name, Path: "/v1/completions", Model: pool.Name, Tier: 1})
	}
	text, _ := json.Marshal(m)
	return text
}

// Measures the size of the manifest, its parsing time and its memory by the
// number of client accounts.
func TestCapacityParse(t *testing.T) {
	const repeats = 10
	var s capacity.Series
	for _, accounts := range []int{5, 500, 5000, 10_000, 22_000} {
		text := manifestWithAccounts(accounts)
		s.Add("manifest MiB", float64(accounts), float64(len(text))/(1<<20))
		cpuBefore, heapBefore := cpuTime(), heapBytes()
		var m *Manifest
		for range repeats {
			parsed, list := Parse(text)
			if len(list) > 0 {
				t.Fatal(list)
			}
			m = parsed
		}
		s.Add("ms processor to parse", float64(accounts), float64((cpuTime()-cpuBefore).Microseconds())/1000/repeats)
		s.Add("heap MiB parsed, without the text", float64(accounts), (heapBytes()-heapBefore)/(1<<20))
		runtime.KeepAlive(m)
		runtime.KeepAlive(text)
	}
	if err := s.Write(filepath.Join("..", "..", "docs", "capacity", "parse.csv")); err != nil {
		t.Error(err)
	}
	t.Logf("\n%s", capacity.Table(&s, 22_000))
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
