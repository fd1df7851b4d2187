package report

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"kingcupcourse/internal/load/collector"
)

// WriteComparison writes the metrics of several targets side by side: the
// mean, minimum and maximum over the seeds, and the ratio of the mean to that
// of the first target.
func WriteComparison(w io.Writer, targets []string, results map[string][]*collector.Result) error {
	out := tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(out, "measure\t")
	for _, target := range targets {
		fmt.Fprintf(out, "%s mean (min-max)\tratio\t", target)
	}
	fmt.Fprintln(out)
	for _, m := range comparisonMetrics(results[targets[0]]) {
		fmt.Fprintf(out, "%s\t", m.name)
		base := summarize(m, results[targets[0]]).mean
		for _, target := range targets {
			sum := summarize(m, results[target])
			fmt.Fprintf(out, "%.4g (%.4g-%.4g)\t%s\t", sum.mean, sum.min, sum.max, formatRatio(sum.mean, base))
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}

func formatRatio(value, base float64) string {
	if base == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", value/base)
}

// metric is one row of a comparison.
type metric struct {
	name  string
	value func(*collector.Result) float64
}

func comparisonMetrics(results []*collector.Result) []metric {
	rows := []metric{{"goodput", goodput}}
	if len(results) == 0 {
		return rows
	}
	for i := range results[0].Tiers {
		name := results[0].Tiers[i].Name
		rows = append(rows, metric{"goodput " + name, func(r *collector.Result) float64 { return float64(tierStats(r, name).Good) }},
			metric{"first token p95 ms " + name, func(r *collector.Result) float64 { return tierStats(r, name).FirstToken.P95 }})
	}
	return append(rows,
		metric{"total p50 ms", func(r *collector.Result) float64 { return r.All.Total.P50 }},
		metric{"total p99 ms", func(r *collector.Result) float64 { return r.All.Total.P99 }},
		metric{"wasted prefill tokens", wastedPrefill},
		metric{"prefill tokens", func(r *collector.Result) float64 { return float64(engineCounts(r).PrefillTokens) }},
		metric{"runs started", func(r *collector.Result) float64 { return float64(engineCounts(r).Started) }},
		metric{"tier inversions", func(r *collector.Result) float64 { return float64(r.Inversions) }},
		metric{"run twice", func(r *collector.Result) float64 { return float64(len(engineCounts(r).RunTwice)) }},
		metric{"not run but ran", func(r *collector.Result) float64 { return float64(len(engineCounts(r).NotRunButRan)) }},
	)
}

func tierStats(r *collector.Result, name string) collector.GroupStats {
	for _, g := range r.Tiers {
		if g.Name == name {
			return g
		}
	}
	return collector.GroupStats{}
}

func engineCounts(r *collector.Result) collector.EngineCounts {
	if r.Engines == nil {
		return collector.EngineCounts{}
	}
	return *r.Engines
}

func goodput(r *collector.Result) float64 {
	total := 0
	for i := range r.Tiers {
		total += r.Tiers[i].Good
	}
	return float64(total)
}

func wastedPrefill(r *collector.Result) float64 {
	return float64(engineCounts(r).WastedPrefillTokens)
}

// summary holds the mean, minimum and maximum of a metric over the seeds.
type summary struct{ mean, min, max float64 }

func summarize(m metric, results []*collector.Result) summary {
	var values []float64
	for _, r := range results {
		values = append(values, m.value(r))
	}
	if len(values) == 0 {
		return summary{math.NaN(), math.NaN(), math.NaN()}
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return summary{sum / float64(len(values)), slices.Min(values), slices.Max(values)}
}
