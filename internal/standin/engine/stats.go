package engine

import (
	"maps"

	"kingcupcourse/internal/standin/orders"
)

// maxCountedRuns limits the number of request ids that are counted separately.
const maxCountedRuns = 1 << 20

// Stats are the counters of an engine since its process started. A crash fault
// does not reset them.
type Stats struct {
	AvailabilityZone string `json:"availability_zone"`
	Role             string `json:"role"`
	// Runs counts the runs started per request id.
	Runs      map[string]int `json:"runs"`
	Started   int            `json:"started"`
	Finished  int            `json:"finished"`
	Cancelled int            `json:"cancelled"`
	// Lost counts the runs that a crash ended.
	Lost          int `json:"lost"`
	PrefillTokens int `json:"prefill_tokens"`
	// WastedPrefillTokens is the part of PrefillTokens that was spent on runs
	// that did not finish.
	WastedPrefillTokens int `json:"wasted_prefill_tokens"`
	// CachedPrefillTokens is the prefill that the prefix cache saved.
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

// copy returns a copy that other goroutines may read.
func (s *Stats) copy() Stats {
	copied := *s
	copied.Runs = maps.Clone(s.Runs)
	copied.Orders = s.Orders.Copy()
	return copied
}
