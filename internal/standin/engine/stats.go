package engine

import (
	"maps"

	"kingcupcourse/internal/standin/orders"
)

// maxCountedRuns bounds the request ids that are counted one by one.
const maxCountedRuns = 1 << 20

// Stats is what an engine counted since its process started; a crash does
// not reset it.
type Stats struct {
	AvailabilityZone string `json:"availability_zone"`
	Role             string `json:"role"`
	// Runs is how often each request id was started.
	Runs      map[string]int `json:"runs"`
	Started   int            `json:"started"`
	Finished  int            `json:"finished"`
	Cancelled int            `json:"cancelled"`
	// Lost counts the runs that a crash ended.
	Lost          int `json:"lost"`
	PrefillTokens int `json:"prefill_tokens"`
	// WastedPrefillTokens is the part spent on runs that did not finish.
	WastedPrefillTokens int `json:"wasted_prefill_tokens"`
	// CachedPrefillTokens is what the prefix cache saved.
	CachedPrefillTokens int            `json:"cached_prefill_tokens"`
	DecodeTokens        int            `json:"decode_tokens"`
	PeakRunning         int            `json:"peak_running"`
	PeakWaiting         int            `json:"peak_waiting"`
	Crashes             int            `json:"crashes"`
	Orders              orders.History `json:"orders"`
}

func (s *Stats) countRun(id string) {
	s.Started++
	if _, known := s.Runs[id]; known || len(s.Runs) < maxCountedRuns {
		s.Runs[id]++
	}
}

// copy returns stats that may leave the duty.
func (s *Stats) copy() Stats {
	copied := *s
	copied.Runs = maps.Clone(s.Runs)
	copied.Orders = s.Orders.Copy()
	return copied
}
