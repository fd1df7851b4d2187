package report

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"kingcupcourse/internal/load/collector"
)

// Compare writes the measures of several targets side by side, each as mean
// and spread over the seeds, with the ratio to the first target.
func Compare(w io.Writer, targets []string, results map[string][]*collector.Result) error {
	out := tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(out, "measure\t")
	for _, target := range targets {
		fmt.Fprintf(out, "%s mean (min-max)\tratio\t", target)
	}
	fmt.Fprintln(out)
	for _, m := range measures(results[targets[0]]) {
		fmt.Fprintf(out, "%s\t", m.name)
		base := summarise(m, results[targets[0]]).mean
		for _, target := range targets {
			s := summarise(m, results[target])
			fmt.Fprintf(out, "%.4g (%.4g-%.4g)\t%s\t", s.mean, s.low, s.high, ratio(s.mean, base))
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}

func ratio(value, base float64) string {
	if base == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", value/base)
}

// measure is one row of a comparison.
type measure struct {
	name string
	of   func(*collector.Result) float64
}

func measures(results []*collector.Result) []measure {
	rows := []measure{{"goodput", totalGood}}
	if len(results) == 0 {
		return rows
	}
	for i := range results[0].Tiers {
		name := results[0].Tiers[i].Name
		rows = append(rows, measure{"goodput " + name, func(r *collector.Result) float64 { return float64(group(r, name).Good) }},
			measure{"first token p95 ms " + name, func(r *collector.Result) float64 { return group(r, name).FirstToken.P95 }})
	}
	return append(rows,
		measure{"total p50 ms", func(r *collector.Result) float64 { return r.All.Total.P50 }},
		measure{"total p99 ms", func(r *collector.Result) float64 { return r.All.Total.P99 }},
		measure{"wasted prefill tokens", wastedPrefill},
		measure{"prefill tokens", func(r *collector.Result) float64 { return float64(engineCounts(r).PrefillTokens) }},
		measure{"runs started", func(r *collector.Result) float64 { return float64(engineCounts(r).Started) }},
		measure{"tier inversions", func(r *collector.Result) float64 { return float64(r.Inversions) }},
		measure{"run twice", func(r *collector.Result) float64 { return float64(len(engineCounts(r).RunTwice)) }},
		measure{"not run but ran", func(r *collector.Result) float64 { return float64(len(engineCounts(r).NotRunButRan)) }},
	)
}

func group(r *collector.Result, name string) collector.Group {
	for _, g := range r.Tiers {
		if g.Name == name {
			return g
		}
	}
	return collector.Group{}
}

func engineCounts(r *collector.Result) collector.EngineCounts {
	if r.Engines == nil {
		return collector.EngineCounts{}
	}
	return *r.Engines
}

func totalGood(r *collector.Result) float64 {
	total := 0
	for i := range r.Tiers {
		total += r.Tiers[i].Good
	}
	return float64(total)
}

func wastedPrefill(r *collector.Result) float64 {
	return float64(engineCounts(r).WastedPrefillTokens)
}

// spread is a measure over the seeds.
type spread struct{ mean, low, high float64 }

func summarise(m measure, results []*collector.Result) spread {
	var values []float64
	for _, r := range results {
		values = append(values, m.of(r))
	}
	if len(values) == 0 {
		return spread{math.NaN(), math.NaN(), math.NaN()}
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return spread{sum / float64(len(values)), slices.Min(values), slices.Max(values)}
}
