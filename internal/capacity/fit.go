// Package capacity keeps the measurements behind docs/CAPACITY.md and fits a
// line to each. The measurements themselves are tests with the build tag
// "capacity"; scripts/capacity runs them.
package capacity

import "math"

// Point is one measurement: what was varied, and what was seen.
type Point struct{ X, Y float64 }

// Line is a least-squares fit Y = Intercept + Slope x X.
type Line struct {
	Slope, Intercept float64
	// Residual is the root mean square of the distances in Y.
	Residual float64
	Points   int
}

// Fit returns the least-squares line through the points. With fewer than two
// values of X the slope is zero and the intercept is the mean.
func Fit(points []Point) Line {
	n := float64(len(points))
	if n == 0 {
		return Line{}
	}
	var meanX, meanY, xx, xy float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
	}
	line := Line{Points: len(points)}
	if xx > 0 {
		line.Slope = xy / xx
	}
	line.Intercept = meanY - line.Slope*meanX
	for _, p := range points {
		line.Residual += math.Pow(p.Y-line.At(p.X), 2) / n
	}
	line.Residual = math.Sqrt(line.Residual)
	return line
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }
