package estimate

// smoothing is the least weight of a new observation in an average.
const smoothing = 0.15

// average is an exponentially weighted mean that starts from a first guess.
// The guess counts as one observation.
type average struct {
	value float64
	count int
}

func (a *average) add(x float64) {
	a.count++
	a.value += weight(a.count) * (x - a.value)
}

func weight(count int) float64 {
	return max(smoothing, 1/float64(count+1))
}

// line is an exponentially weighted regression of y on x with a slope that
// is never negative. Without spread in x it is the average of y.
type line struct {
	x, y   float64
	xx, xy float64
	count  int
}

const (
	// minSpread is the least variance of x from which a slope is learned.
	minSpread = 0.5
	// maxExtrapolation bounds a prediction to this factor around the mean.
	maxExtrapolation = 3.0
)

func (l *line) add(x, y float64) {
	l.count++
	if l.count == 1 {
		l.x = x
	}
	w := weight(l.count)
	dx, dy := x-l.x, y-l.y
	l.x += w * dx
	l.y += w * dy
	l.xx = (1 - w) * (l.xx + w*dx*dx)
	l.xy = (1 - w) * (l.xy + w*dx*dy)
}

func (l *line) at(x float64) float64 {
	if l.xx < minSpread || l.xy <= 0 {
		return l.y
	}
	predicted := l.y + l.xy/l.xx*(x-l.x)
	return min(max(predicted, l.y/maxExtrapolation), l.y*maxExtrapolation)
}
