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

// standInStats is what the load tool reads of a stand-in's counters.
type standInStats struct {
	Runs                map[string]int `json:"runs"`
	Started             int            `json:"started"`
	PrefillTokens       int            `json:"prefill_tokens"`
	WastedPrefillTokens int            `json:"wasted_prefill_tokens"`
	DecodeTokens        int            `json:"decode_tokens"`
	PeakWaiting         int            `json:"peak_waiting"`
	Crashes             int            `json:"crashes"`
}

// CounterSnapshot is a snapshot of all stand-ins' counters, taken before and after
// a run.
type CounterSnapshot struct {
	stats map[string]standInStats
}

// ReadCounters asks every stand-in of the experiment for its counters.
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
		return stats, eris.Wrap(err, "stand-in counters")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return stats, eris.Wrap(err, "stand-in counters")
	}
	defer func() { _ = response.Body.Close() }()
	return stats, eris.Wrap(json.NewDecoder(response.Body).Decode(&stats), "stand-in counters")
}

// Diff sums what was counted between two snapshots and holds it against
// what the callers were told.
func (c *CounterSnapshot) Diff(before *CounterSnapshot, samples []collector.Sample) *collector.EngineCounts {
	if len(c.stats) == 0 {
		return nil
	}
	sum := &collector.EngineCounts{}
	runs := map[string]int{}
	for name, now := range c.stats {
		then := before.stats[name]
		sum.Started += now.Started - then.Started
		sum.PrefillTokens += now.PrefillTokens - then.PrefillTokens
		sum.WastedPrefillTokens += now.WastedPrefillTokens - then.WastedPrefillTokens
		sum.DecodeTokens += now.DecodeTokens - then.DecodeTokens
		sum.PeakWaiting = max(sum.PeakWaiting, now.PeakWaiting)
		sum.Crashes += now.Crashes - then.Crashes
		for id, n := range now.Runs {
			runs[id] += n
		}
	}
	audit(sum, runs, samples)
	return sum
}

// audit compares the callers' answers with the runs that the endpoints
// counted. An endpoint sees a request's id, or the id with the number of the
// try behind a dot; a run-once request's key stands for its id.
func audit(sum *collector.EngineCounts, runs map[string]int, samples []collector.Sample) {
	byRequest := map[string]int{}
	for id, n := range runs {
		request, _, _ := strings.Cut(id, ".")
		byRequest[request] += n
	}
	byKey, told := map[string]int{}, map[string]bool{}
	for i := range samples {
		s := &samples[i]
		if s.Disposition == core.NotRun && byRequest[s.RequestID] > 0 {
			sum.NotRunButRan = append(sum.NotRunButRan, s.RequestID)
		}
		if s.IdempotencyKey == "" || told[s.RequestID] {
			continue
		}
		told[s.RequestID] = true
		byKey[s.IdempotencyKey] += byRequest[s.RequestID]
	}
	for key, n := range byKey {
		if n > 1 {
			sum.RunTwice = append(sum.RunTwice, key)
		}
	}
	slices.Sort(sum.RunTwice)
	slices.Sort(sum.NotRunButRan)
}
