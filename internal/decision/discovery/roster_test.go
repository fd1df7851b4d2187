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
	r.StoreAnswered(now)
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

// Entries that are missing after an outage have until the end of the grace to
// come back.
func TestLapsedEntriesAreKeptForTheGracePeriod(t *testing.T) {
	r, now := newRegistry(endpoint("a", false), endpoint("b", false), endpoint("c", true))
	r.StoreFailed(now)
	back := now.Add(MinOutage + 3*time.Second)
	r.StoreAnswered(back)
	r.Replace(nil, back)
	if names(r) != "ab" {
		t.Fatalf("left %s: what was leaving is gone, the others are kept", names(r))
	}
	if due := r.NextExpiry(); !due.Equal(back.Add(GracePeriod)) {
		t.Errorf("due %v", due)
	}
	r.Put(endpoint("b", false))
	if gone := r.Expire(back.Add(GracePeriod - time.Millisecond)); len(gone) != 0 {
		t.Errorf("%v gone within the grace", gone)
	}
	if gone := r.Expire(back.Add(GracePeriod)); len(gone) != 1 || gone[0] != "a" || names(r) != "b" {
		t.Errorf("%v gone, left %s", gone, names(r))
	}
	if !r.NextExpiry().IsZero() {
		t.Error("still something due")
	}
}

// A short failure lets no entry lapse, so it excuses none.
func TestShortFailureKeepsNoEntries(t *testing.T) {
	r, now := newRegistry(endpoint("a", false))
	r.StoreFailed(now)
	r.StoreAnswered(now.Add(MinOutage / 2))
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
	if gone := r.Expire(later.Add(time.Hour)); len(gone) != 0 {
		t.Errorf("%v gone while the store is away", gone)
	}
}
