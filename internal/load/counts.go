package load

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/load/collector"
	"kingcupcourse/internal/load/experiment"
)

const statsTimeout = 5 * time.Second

// standInStats holds the counters of a stand-in that the load tool uses.
type standInStats struct {
	Runs                map[string]int `json:"runs"`
	Started             int            `json:"started"`
	PrefillTokens       int            `json:"prefill_tokens"`
	WastedPrefillTokens int            `json:"wasted_prefill_tokens"`
	DecodeTokens        int            `json:"decode_tokens"`
	PeakWaiting         int            `json:"peak_waiting"`
	Crashes             int            `json:"crashes"`
}

// CounterSnapshot holds the counters of all stand-ins. One is taken before a
// run and one after it.
type CounterSnapshot struct {
	stats map[string]standInStats
}

// ReadCounters fetches the counters of every stand-in of the experiment. The
// snapshot is empty if the experiment names no stand-ins.
func ReadCounters(ctx context.Context, e *experiment.Experiment) (*CounterSnapshot, error) {
	c := &CounterSnapshot{stats: map[string]standInStats{}}
	if e.StandInURL == "" {
		return c, nil
	}
	for _, name := range slices.Concat(e.Engines, e.Ledgers) {
		stats, err := readStats(ctx, e.StandInURL+"/"+name+"/admin/stats")
		if err != nil {
			return nil, err
		}
		c.stats[name] = stats
	}
	return c, nil
}

func readStats(ctx context.Context, url string) (stats standInStats, err error) {
	ctx, cancel := context.WithTimeout(ctx, statsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return stats, eris.Wrap(err, "read stand-in counters")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return stats, eris.Wrap(err, "read stand-in counters")
	}
	defer func() { _ = response.Body.Close() }()
	return stats, eris.Wrap(json.NewDecoder(response.Body).Decode(&stats), "read stand-in counters")
}

// Diff returns the increase of the counters since an earlier snapshot, combined
// over the stand-ins, with the findings of audit. It returns nil for an empty
// snapshot.
func (c *CounterSnapshot) Diff(before *CounterSnapshot, samples []collector.Sample) *collector.EngineCounts {
	if len(c.stats) == 0 {
		return nil
	}
	counts := &collector.EngineCounts{}
	runs := map[string]int{}
	for name, current := range c.stats {
		previous := before.stats[name]
		counts.Started += current.Started - previous.Started
		counts.PrefillTokens += current.PrefillTokens - previous.PrefillTokens
		counts.WastedPrefillTokens += current.WastedPrefillTokens - previous.WastedPrefillTokens
		counts.DecodeTokens += current.DecodeTokens - previous.DecodeTokens
		counts.PeakWaiting = max(counts.PeakWaiting, current.PeakWaiting)
		counts.Crashes += current.Crashes - previous.Crashes
		for id, n := range current.Runs {
			runs[id] += n
		}
	}
	audit(counts, runs, samples)
	return counts
}

// audit compares the dispositions that callers received with the runs that
// the endpoints counted. An endpoint sees the request id, followed by a dot
// and the number of the attempt for a retry. Runs of a run-once request are
// summed over the request ids that share its idempotency key.
func audit(counts *collector.EngineCounts, runs map[string]int, samples []collector.Sample) {
	runsByRequest := map[string]int{}
	for id, n := range runs {
		request, _, _ := strings.Cut(id, ".")
		runsByRequest[request] += n
	}
	runsByKey, counted := map[string]int{}, map[string]bool{}
	for i := range samples {
		s := &samples[i]
		if s.Disposition == core.NotRun && runsByRequest[s.RequestID] > 0 {
			counts.NotRunButRan = append(counts.NotRunButRan, s.RequestID)
		}
		if s.IdempotencyKey == "" || counted[s.RequestID] {
			continue
		}
		counted[s.RequestID] = true
		runsByKey[s.IdempotencyKey] += runsByRequest[s.RequestID]
	}
	for key, n := range runsByKey {
		if n > 1 {
			counts.RunTwice = append(counts.RunTwice, key)
		}
	}
	slices.Sort(counts.RunTwice)
	slices.Sort(counts.NotRunButRan)
}
