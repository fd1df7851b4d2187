// Package capacity stores the measurements on which docs/CAPACITY.md is based
// and fits a line to each metric. The measurements are made by tests with the
// build tag "capacity", which scripts/capacity runs.
package capacity

import "math"

// Point is one measurement: the varied quantity X and the measured value Y.
type Point struct{ X, Y float64 }

// Line is a least-squares fit Y = Intercept + Slope*X.
type Line struct {
	Slope, Intercept float64
	// Residual is the root mean square error in Y.
	Residual float64
	Points   int
}

// Fit returns the least-squares line through the points. With fewer than two
// distinct values of X the slope is zero and the intercept is the mean of Y.
func Fit(points []Point) Line {
	n := float64(len(points))
	if n == 0 {
		return Line{}
	}
	var meanX, meanY, sumXX, sumXY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	for _, p := range points {
		sumXX += (p.X - meanX) * (p.X - meanX)
		sumXY += (p.X - meanX) * (p.Y - meanY)
	}
	line := Line{Points: len(points)}
	if sumXX > 0 {
		line.Slope = sumXY / sumXX
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
