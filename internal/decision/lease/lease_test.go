package lease

import (
	"testing"
	"time"
)

func TestLease(t *testing.T) {
	now := time.Unix(1000, 0)
	l := Acquired("a", 7, now, 5*time.Second)
	if l.Fence != 8 || !l.Valid(now.Add(4*time.Second)) || l.Valid(now.Add(5*time.Second)) {
		t.Fatalf("acquired lease has the wrong fencing number or validity: %+v", l)
	}
	if l.Available(now.Add(5500 * time.Millisecond)) {
		t.Error("available to others within maxClockSkew of the expiry")
	}
	if !l.Available(now.Add(6100 * time.Millisecond)) {
		t.Error("not available after expiry and maxClockSkew")
	}
	if renewed := l.Renewed(now.Add(2*time.Second), 5*time.Second); renewed.Fence != 8 || !renewed.Valid(now.Add(6*time.Second)) {
		t.Errorf("renewed lease has the wrong fencing number or validity: %+v", renewed)
	}
	if !l.Released().Available(now) || !(Lease{}).Available(now) {
		t.Error("a released or missing lease must be available")
	}
	if later := Acquired("b", 9, now, time.Second); later.Fence <= l.Fence {
		t.Errorf("fencing number %d is not greater than the previous holder's", later.Fence)
	}
}
