// Package report writes the result of a load run as text and as plots.
package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"kingcupcourse/internal/load/collector"
)

// WriteText writes the result as a text report.
func WriteText(w io.Writer, r *collector.Result) error {
	out := tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(out, "%s: seed %d, load factor %g, %.1f s\n\n", r.Experiment, r.Seed, r.LoadFactor, float64(r.DurationMS)/1000)
	writeGroups(out, "goodput by tier", r.Tiers)
	writeGroups(out, "goodput by class", r.Classes)
	writeRefusals(out, r.Refusals)
	writeEngines(out, r.Engines)
	fmt.Fprintf(out, "tier inversions seen by callers: %d\n", r.Inversions)
	if r.LateArrivals > 0 {
		fmt.Fprintf(out, "NOT AN OPEN LOOP: %d requests were sent late because all callers were busy\n", r.LateArrivals)
	}
	return out.Flush()
}

func writeGroups(out io.Writer, title string, groups []collector.GroupStats) {
	fmt.Fprintf(out, "%s\toffered\tgood\tshare\tlate\trefused\tbroken\twrong\tfirst token p50/p95/p99 ms\tbetween tokens p50/p95/p99 ms\ttotal p50/p99 ms\t\n", title)
	for i := range groups {
		g := &groups[i]
		fmt.Fprintf(out, "%s\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%s\t%s\t%.0f / %.0f\t\n", g.Name, g.Offered, g.Good, g.GoodFraction(),
			g.Late, g.Refused, g.Broken, g.Wrong, formatQuantiles(g.FirstToken), formatQuantiles(g.BetweenTokens), g.Total.P50, g.Total.P99)
	}
	fmt.Fprintln(out)
}

func formatQuantiles(q collector.Quantiles) string {
	return fmt.Sprintf("%.0f / %.0f / %.0f", q.P50, q.P95, q.P99)
}

func writeRefusals(out io.Writer, refusals []collector.RefusalCount) {
	if len(refusals) == 0 {
		return
	}
	fmt.Fprintf(out, "refused: tier\tdisposition\treason\tcount\t\n")
	for _, r := range refusals {
		fmt.Fprintf(out, "%d\t%s\t%s\t%d\t\n", r.Tier, r.Disposition, r.Reason, r.Count)
	}
	fmt.Fprintln(out)
}

func writeEngines(out io.Writer, e *collector.EngineCounts) {
	if e == nil {
		return
	}
	share := 0.0
	if e.PrefillTokens > 0 {
		share = float64(e.WastedPrefillTokens) / float64(e.PrefillTokens)
	}
	fmt.Fprintf(out, "engines: %d started, %d tokens prefilled, %d of them wasted (%.3f), %d tokens decoded, longest queue %d\n",
		e.Started, e.PrefillTokens, e.WastedPrefillTokens, share, e.DecodeTokens, e.PeakWaiting)
	fmt.Fprintf(out, "audit: %d run-once requests ran twice, %d told \"not run\" but ran\n", len(e.RunTwice), len(e.NotRunButRan))
}
