package collector

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kingcupcourse/internal/core"
)

// Result holds the measurements of one run of the load tool.
type Result struct {
	Experiment string  `json:"experiment"`
	Target     string  `json:"target,omitempty"`
	Seed       uint64  `json:"seed"`
	LoadFactor float64 `json:"load_factor"`
	DurationMS int64   `json:"duration_ms"`
	// All covers all requests.
	All GroupStats `json:"all"`
	// Tiers and Classes hold the statistics of each tier and class, the most
	// important tier first.
	Tiers   []GroupStats `json:"tiers"`
	Classes []GroupStats `json:"classes"`
	// Refusals counts refused requests by tier, disposition and reason.
	Refusals []RefusalCount `json:"refusals"`
	// Inversions counts requests that were shed although a request of a
	// lower tier that arrived later at the same pool, within
	// InversionWindow, was served.
	Inversions int `json:"inversions"`
	// LateArrivals counts requests that were sent late because all callers
	// were busy. A run with late arrivals is not an open loop.
	LateArrivals int `json:"late_arrivals"`
	// Engines holds the counters of the stand-ins, nil if they were not
	// read.
	Engines *EngineCounts `json:"engines,omitempty"`
	// Series is the goodput of each second since the start.
	Series []SecondGoodput `json:"series"`
}

// GroupStats holds the statistics of one tier or class.
type GroupStats struct {
	Name    string `json:"name"`
	Offered int    `json:"offered"`
	// Good is the number of requests that got a complete response by their
	// deadline, GoodTokens the number of tokens in these responses.
	Good       int `json:"good"`
	GoodTokens int `json:"good_tokens"`
	// Late is the number of requests that got a complete response after the
	// deadline, Refused the number that got a typed refusal, and Broken the
	// number that got neither.
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Broken  int `json:"broken"`
	// Wrong is the number of complete responses with wrong content.
	Wrong         int       `json:"wrong"`
	FirstToken    Quantiles `json:"first_token_ms"`
	BetweenTokens Quantiles `json:"between_tokens_ms"`
	Total         Quantiles `json:"total_ms"`
}

// GoodFraction returns the fraction of the offered requests that count as
// goodput.
func (g *GroupStats) GoodFraction() float64 {
	if g.Offered == 0 {
		return 0
	}
	return float64(g.Good) / float64(g.Offered)
}

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// RefusalCount is the number of requests of a tier that were refused for one
// reason.
type RefusalCount struct {
	Tier        core.Tier        `json:"tier"`
	Disposition core.Disposition `json:"disposition"`
	Reason      core.Reason      `json:"reason"`
	Count       int              `json:"count"`
}

// SecondGoodput is the goodput of one second, in requests by tier.
type SecondGoodput struct {
	Good map[core.Tier]int `json:"good"`
}

// EngineCounts combines the counters of the stand-in engines and ledgers for
// the run: PeakWaiting is the maximum, the other numbers are sums.
type EngineCounts struct {
	Started             int `json:"started"`
	PrefillTokens       int `json:"prefill_tokens"`
	WastedPrefillTokens int `json:"wasted_prefill_tokens"`
	DecodeTokens        int `json:"decode_tokens"`
	PeakWaiting         int `json:"peak_waiting"`
	Crashes             int `json:"crashes"`
	// RunTwice lists the idempotency keys of run-once requests that ran more
	// than once.
	RunTwice []string `json:"run_twice,omitempty"`
	// NotRunButRan lists the ids of requests that an endpoint ran although
	// their callers got the disposition "not run".
	NotRunButRan []string `json:"not_run_but_ran,omitempty"`
}

// InversionWindow is the longest time between a shed request and a later
// served request of a lower tier that counts as an inversion.
const InversionWindow = 100 * time.Millisecond

// Summarize computes the result of a run of the given duration from its
// samples.
func Summarize(samples []Sample, duration time.Duration) *Result {
	r := &Result{DurationMS: duration.Milliseconds()}
	r.Tiers = groupBy(samples, func(s *Sample) string { return "tier " + strconv.Itoa(int(s.Tier)) })
	r.Classes = groupBy(samples, func(s *Sample) string { return s.Class })
	if all := groupBy(samples, func(*Sample) string { return "all" }); len(all) == 1 {
		r.All = all[0]
	}
	r.Refusals = countRefusals(samples)
	r.Inversions = countInversions(samples)
	r.Series = goodputSeries(samples, duration)
	for i := range samples {
		if samples[i].SendDelay > InversionWindow {
			r.LateArrivals++
		}
	}
	return r
}

const (
	histogramMaxUS  = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// histogram records durations with a relative error of 0.1%.
type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram { return histogram{hdrhistogram.New(1, histogramMaxUS, histogramDigits)} }

func (h histogram) add(d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMaxUS))
}

func (h histogram) quantiles() Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max())}
}

// accumulator collects the statistics of one group.
type accumulator struct {
	group                            GroupStats
	firstToken, betweenTokens, total histogram
}

func groupBy(samples []Sample, name func(*Sample) string) []GroupStats {
	byName := map[string]*accumulator{}
	for i := range samples {
		key := name(&samples[i])
		a := byName[key]
		if a == nil {
			a = &accumulator{group: GroupStats{Name: key}, firstToken: newHistogram(), betweenTokens: newHistogram(), total: newHistogram()}
			byName[key] = a
		}
		a.add(&samples[i])
	}
	var out []GroupStats
	for _, a := range byName {
		a.group.FirstToken, a.group.BetweenTokens, a.group.Total = a.firstToken.quantiles(), a.betweenTokens.quantiles(), a.total.quantiles()
		out = append(out, a.group)
	}
	slices.SortFunc(out, func(a, b GroupStats) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (a *accumulator) add(s *Sample) {
	if s.Resend {
		return
	}
	g := &a.group
	g.Offered++
	switch {
	case s.WrongContent:
		g.Wrong++
	case s.Good():
		g.Good++
		g.GoodTokens += s.Tokens
	case s.Complete:
		g.Late++
	case s.Disposition != "":
		g.Refused++
	default:
		g.Broken++
	}
	if !s.Complete {
		return
	}
	a.total.add(s.Total)
	if s.FirstToken > 0 {
		a.firstToken.add(s.FirstToken)
	}
	for _, gap := range s.TokenIntervals {
		a.betweenTokens.add(gap)
	}
}

func countRefusals(samples []Sample) []RefusalCount {
	counts := map[RefusalCount]int{}
	for i := range samples {
		if s := &samples[i]; s.Disposition != "" {
			counts[RefusalCount{Tier: s.Tier, Disposition: s.Disposition, Reason: s.Reason}]++
		}
	}
	var out []RefusalCount
	for r, n := range counts {
		r.Count = n
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

func isShed(s *Sample) bool {
	return s.Disposition == core.NotRun && (s.Reason == core.ReasonShed || s.Reason == core.ReasonQueueFull)
}

func countInversions(samples []Sample) int {
	sorted := slices.Clone(samples)
	slices.SortFunc(sorted, func(a, b Sample) int { return cmp.Compare(a.Due, b.Due) })
	count := 0
	for i := range sorted {
		if isShed(&sorted[i]) && lowerTierServedAfter(sorted[i:]) {
			count++
		}
	}
	return count
}

// lowerTierServedAfter reports whether a request of a lower tier than the
// first sample, due at the same pool within InversionWindow after it, was
// served. The samples are sorted by due time.
func lowerTierServedAfter(samples []Sample) bool {
	shed := &samples[0]
	for i := 1; i < len(samples) && samples[i].Due-shed.Due <= InversionWindow; i++ {
		if s := &samples[i]; s.Pool == shed.Pool && s.Tier > shed.Tier && s.Complete {
			return true
		}
	}
	return false
}

func goodputSeries(samples []Sample, duration time.Duration) []SecondGoodput {
	out := make([]SecondGoodput, int((duration+time.Second-1)/time.Second))
	for i := range out {
		out[i].Good = map[core.Tier]int{}
	}
	for i := range samples {
		second := int(samples[i].Due / time.Second)
		if samples[i].Good() && second < len(out) {
			out[second].Good[samples[i].Tier]++
		}
	}
	return out
}
