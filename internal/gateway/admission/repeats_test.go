package admission

import "testing"

// spend counts how many repeats of a service are granted now.
func spend(r *repeats) (granted int) {
	for r.budget("s").TryWithdraw() {
		granted++
	}
	return granted
}

// A host has its part of the burst once it knows the fleet's size, also if
// requests came before, and no more when hosts come and go.
func TestRetryBurstOnceFleetSizeIsKnown(t *testing.T) {
	r := newRepeats(0.1, 28)
	r.earn("s") // before the size is known
	r.setHosts(7)
	if got := spend(r); got != 4 {
		t.Errorf("%d repeats, want 4 of 28 for one host of seven", got)
	}
	for range 10 {
		r.setHosts(6)
		r.setHosts(7)
	}
	if got := spend(r); got != 0 {
		t.Errorf("%d more repeats because a host came and went", got)
	}
}
