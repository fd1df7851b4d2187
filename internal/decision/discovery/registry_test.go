package discovery

import (
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
)

func endpoint(name string, leaving bool) catalog.Endpoint {
	return catalog.Endpoint{Endpoint: core.Endpoint{Name: name}, Draining: leaving}
}

func names(r *Registry) (list string) {
	for _, e := range r.Endpoints() {
		list += e.Name
	}
	return list
}

func newRegistry(all ...catalog.Endpoint) (*Registry, time.Time) {
	r, now := New(), time.Unix(1000, 0)
	r.StoreResponded(now)
	r.Replace(all, now)
	return r, now
}

func TestRemovedEntriesAreDropped(t *testing.T) {
	r, now := newRegistry(endpoint("a", false), endpoint("b", false))
	if r.Remove("a", now) || names(r) != "b" {
		t.Errorf("left %s", names(r))
	}
	r.Replace(nil, now)
	if names(r) != "" {
		t.Errorf("left %s", names(r))
	}
}

// Checks that entries that are missing after an outage may reappear until the end
// of the grace period.
func TestLapsedEntriesAreKeptForTheGracePeriod(t *testing.T) {
	r, now := newRegistry(endpoint("a", false), endpoint("b", false), endpoint("c", true))
	r.StoreFailed(now)
	recovered := now.Add(MinOutage + 3*time.Second)
	r.StoreResponded(recovered)
	r.Replace(nil, recovered)
	if names(r) != "ab" {
		t.Fatalf("left %s: want the leaving endpoint dropped and the others kept", names(r))
	}
	if due := r.NextExpiry(); !due.Equal(recovered.Add(GracePeriod)) {
		t.Errorf("due %v", due)
	}
	r.Put(endpoint("b", false))
	if expired := r.Expire(recovered.Add(GracePeriod - time.Millisecond)); len(expired) != 0 {
		t.Errorf("%v expired within the grace period", expired)
	}
	if expired := r.Expire(recovered.Add(GracePeriod)); len(expired) != 1 || expired[0] != "a" || names(r) != "b" {
		t.Errorf("%v expired, left %s", expired, names(r))
	}
	if !r.NextExpiry().IsZero() {
		t.Error("still something due")
	}
}

// Checks that a missing entry is dropped after a failure that was too short for
// entries to lapse.
func TestShortFailureKeepsNoEntries(t *testing.T) {
	r, now := newRegistry(endpoint("a", false))
	r.StoreFailed(now)
	r.StoreResponded(now.Add(MinOutage / 2))
	if r.Remove("a", now.Add(MinOutage/2)); names(r) != "" {
		t.Errorf("left %s", names(r))
	}
}

func TestEntriesAreKeptDuringAnOutage(t *testing.T) {
	r, now := newRegistry(endpoint("a", false))
	r.StoreFailed(now)
	later := now.Add(MinOutage + time.Second)
	if !r.Remove("a", later) || names(r) != "a" {
		t.Errorf("left %q", names(r))
	}
	if expired := r.Expire(later.Add(time.Hour)); len(expired) != 0 {
		t.Errorf("%v expired during the outage", expired)
	}
}
