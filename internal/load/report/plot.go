package report

import (
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/load/collector"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlots writes goodput.png (goodput per second by tier) and tiers.png
// (fraction served by tier) to a folder.
func WritePlots(folder string, r *collector.Result) error {
	if err := plotGoodput(filepath.Join(folder, "goodput.png"), r); err != nil {
		return err
	}
	return plotTiers(filepath.Join(folder, "tiers.png"), r)
}

func plotGoodput(path string, r *collector.Result) error {
	p := plot.New()
	p.Title.Text = r.Experiment + ": goodput"
	p.X.Label.Text = "seconds since the start"
	p.Y.Label.Text = "good requests per second"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for tier := core.Tier(1); int(tier) <= len(r.Tiers); tier++ {
		points := make(plotter.XYs, len(r.Series))
		for second := range r.Series {
			points[second] = plotter.XY{X: float64(second), Y: float64(r.Series[second].Good[tier])}
		}
		lines = append(lines, r.Tiers[tier-1].Name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return eris.Wrap(err, "plot goodput")
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "plot goodput")
}

func plotTiers(path string, r *collector.Result) error {
	p := plot.New()
	p.Title.Text = r.Experiment + ": share of requests served completely and in time"
	p.Y.Min, p.Y.Max = 0, 1
	shares, names := make(plotter.Values, len(r.Tiers)), make([]string, len(r.Tiers))
	for i := range r.Tiers {
		shares[i], names[i] = r.Tiers[i].GoodFraction(), r.Tiers[i].Name
	}
	bars, err := plotter.NewBarChart(shares, vg.Centimeter)
	if err != nil {
		return eris.Wrap(err, "plot tiers")
	}
	p.Add(bars)
	p.NominalX(names...)
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "plot tiers")
}
