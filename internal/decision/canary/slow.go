package canary

const (
	// slowWindow is how many of the latest baseline observations, on all
	// routes, determine the current slow rate.
	slowWindow = 64
	// slowPriorWeight is the weight of the base rate in the estimated slow
	// rate, in observations.
	slowPriorWeight = 20
	// maxSlowRate limits the slow rate that the candidate is compared with.
	maxSlowRate = 0.4
	// slowRateMargin is the factor by which the baseline's slow rate is raised
	// for the comparison, since its rate over the last moments is only an
	// estimate.
	slowRateMargin = 1.5
)

// slowRate counts which of the latest baseline observations were slow by the
// baseline's own limit. While hosts or the network are slow, it rises, so that
// the candidate version is not blamed.
type slowRate struct {
	window []bool
	next   int
	// slowCount is the number of slow observations in the window.
	slowCount int
}

func (s *slowRate) add(slow bool) {
	if len(s.window) < slowWindow {
		s.window = append(s.window, slow)
	} else {
		if s.window[s.next] {
			s.slowCount--
		}
		s.window[s.next] = slow
		s.next = (s.next + 1) % slowWindow
	}
	if slow {
		s.slowCount++
	}
}

// rate returns the share of slow observations, raised by slowRateMargin, and at
// least the base rate. While there are few observations, the share is drawn
// towards the base rate.
func (s *slowRate) rate(base float64) float64 {
	rate := (float64(s.slowCount) + base*slowPriorWeight) / (float64(len(s.window)) + slowPriorWeight)
	return min(max(slowRateMargin*rate, base), maxSlowRate)
}
