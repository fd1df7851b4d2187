package admission

import "testing"

// spendAll spends the retry budget of a service and returns the number of retries
// granted.
func spendAll(r *retryBudgets) (granted int) {
	for r.budget("s").TryWithdraw() {
		granted++
	}
	return granted
}

// A host gets its share of the burst when it learns the fleet size, even if it
// admitted requests before, and gets no more when hosts join and leave.
func TestRetryBurstOnceFleetSizeIsKnown(t *testing.T) {
	r := newRetryBudgets(0.1, 28)
	r.earn("s") // the fleet size is not known yet
	r.setHosts(7)
	if got := spendAll(r); got != 4 {
		t.Errorf("%d retries granted, want 4 of 28 for one host of seven", got)
	}
	for range 10 {
		r.setHosts(6)
		r.setHosts(7)
	}
	if got := spendAll(r); got != 0 {
		t.Errorf("%d extra retries granted after a host left and rejoined", got)
	}
}
