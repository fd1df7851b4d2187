package canary

const (
	// slowWindow is how many of the proved version's newest observations, on
	// all routes, tell how many are slow now.
	slowWindow = 64
	// slowPriorWeight is the weight of the base rate in the slow rate.
	slowPriorWeight = 20
	// maxSlowRate bounds the slow rate that the proved version is credited
	// with.
	maxSlowRate = 0.4
	// slowRateMargin is how many times the proved version's slow rate the other
	// is credited with: the rate of the last moments is not known better.
	slowRateMargin = 1.5
)

// slowRate counts which of the proved version's newest observations were slow
// by its own limit. When hosts or the network are slow for a while, it rises
// and the unproved version is not blamed.
type slowRate struct {
	slow []bool
	next int
	// count is the number of slow ones.
	count int
}

func (s *slowRate) add(slow bool) {
	if len(s.slow) < slowWindow {
		s.slow = append(s.slow, slow)
	} else {
		if s.slow[s.next] {
			s.count--
		}
		s.slow[s.next] = slow
		s.next = (s.next + 1) % slowWindow
	}
	if slow {
		s.count++
	}
}

// rate returns the share of slow observations, drawn towards the base rate
// while there are few, and never below it.
func (s *slowRate) rate(base float64) float64 {
	rate := (float64(s.count) + base*slowPriorWeight) / (float64(len(s.slow)) + slowPriorWeight)
	return min(max(slowRateMargin*rate, base), maxSlowRate)
}
