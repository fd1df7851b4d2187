package estimate

// minWeight is the smallest weight of a new observation in an average.
const minWeight = 0.15

// ewma is an exponentially weighted moving average that starts from a prior.
// The prior counts as one observation.
type ewma struct {
	value float64
	count int
}

func (a *ewma) add(x float64) {
	a.count++
	a.value += observationWeight(a.count) * (x - a.value)
}

func observationWeight(count int) float64 {
	return max(minWeight, 1/float64(count+1))
}

// linearFit is an exponentially weighted linear regression of y on x with a
// non-negative slope. Without enough variance in x it is the mean of y.
type linearFit struct {
	meanX, meanY float64
	varX, covXY  float64
	count        int
}

const (
	// minVarianceX is the smallest variance of x from which a slope is fitted.
	minVarianceX = 0.5
	// maxExtrapolation is the largest ratio between a prediction and the mean,
	// in either direction.
	maxExtrapolation = 3.0
)

func (l *linearFit) add(x, y float64) {
	l.count++
	if l.count == 1 {
		l.meanX = x
	}
	w := observationWeight(l.count)
	dx, dy := x-l.meanX, y-l.meanY
	l.meanX += w * dx
	l.meanY += w * dy
	l.varX = (1 - w) * (l.varX + w*dx*dx)
	l.covXY = (1 - w) * (l.covXY + w*dx*dy)
}

func (l *linearFit) predict(x float64) float64 {
	if l.varX < minVarianceX || l.covXY <= 0 {
		return l.meanY
	}
	predicted := l.meanY + l.covXY/l.varX*(x-l.meanX)
	return min(max(predicted, l.meanY/maxExtrapolation), l.meanY*maxExtrapolation)
}
