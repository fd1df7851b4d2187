package estimate

const (
	// minFitWeight is the smallest weight of a new sample in a firstTokenFit. It
	// is lower than that of other averages, because the slope needs prompts of
	// many lengths.
	minFitWeight = 0.06
	// minFitSamples is the number of samples that replace the initial rate.
	minFitSamples = 3
	// priorVariance is the variance, in tokens squared, that the initial rate
	// stands for. Prompts of similar lengths don't tell the rate.
	priorVariance = 500 * 500
	// maxSpeedup bounds the fitted rate by a multiple of the initial one.
	maxSpeedup = 4
)

// firstTokenFit is an exponentially weighted linear regression of the time to
// the first token on the number of prompt tokens, in seconds. An engine takes
// the part for each token for every prompt ahead; the fixed part overlaps.
type firstTokenFit struct {
	// initialRate is the initial estimate in seconds for each prompt token.
	initialRate float64
	meanTokens  float64
	meanSeconds float64
	variance    float64 // of the tokens
	covariance  float64
	count       int
}

func (f *firstTokenFit) add(tokens, seconds float64) {
	f.count++
	if f.count == 1 {
		f.meanTokens, f.meanSeconds = tokens, seconds
		return
	}
	w := max(minFitWeight, 1/float64(f.count))
	dx, dy := tokens-f.meanTokens, seconds-f.meanSeconds
	f.meanTokens += w * dx
	f.meanSeconds += w * dy
	f.variance = (1 - w) * (f.variance + w*dx*dx)
	f.covariance = (1 - w) * (f.covariance + w*dx*dy)
}

// perToken returns the time for each prompt token.
func (f *firstTokenFit) perToken() float64 {
	if f.count < minFitSamples {
		return f.initialRate
	}
	slope := (f.covariance + priorVariance*f.initialRate) / (f.variance + priorVariance)
	return min(max(slope, f.initialRate/maxSpeedup), f.meanSeconds/f.meanTokens)
}

// fixed returns the part that does not depend on the prompt.
func (f *firstTokenFit) fixed() float64 {
	return max(0, f.meanSeconds-f.perToken()*f.meanTokens)
}
