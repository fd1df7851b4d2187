package estimate

// minWeight is the least weight of a new observation in an average.
const minWeight = 0.15

// ewma is an exponentially weighted mean that starts from a first guess.
// The guess counts as one observation.
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

// linearFit is an exponentially weighted regression of y on x with a slope that
// is never negative. Without spread in x it is the average of y.
type linearFit struct {
	meanX, meanY float64
	varX, covXY  float64
	count        int
}

const (
	// minVarianceX is the least variance of x from which a slope is learned.
	minVarianceX = 0.5
	// maxExtrapolation bounds a prediction to this factor around the mean.
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
