package entry

import (
	"net/http"
	"slices"
	"testing"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/message"
)

// A grant may predate a verdict, or come from an owner that has not received
// the verdict yet. No request may be dispatched to the bad version on such a
// grant.
func TestGrantForBadVersionIsNotDispatched(t *testing.T) {
	s := startStandins(t, 0, 2)
	f := newFixture(t, s.backend("ledger", "ledger-0"), s.backend("ledger", "ledger-1"))
	f.scheduler.pools["ledger"][0].Version = "v2"
	view := f.view()
	view.BadVersions = map[core.EndpointVersion]message.BadVersion{{Pool: "ledger", Version: "v2"}: {}}
	f.publish(view)
	for range 3 {
		if got := f.mustDo(http.MethodPost, "/v1/transfers", "{}", newKeyHeader()); got.status != http.StatusCreated {
			t.Fatalf("got %d", got.status)
		}
	}
	eventually(t, "outcomes", func() bool { return len(f.scheduler.results()) == 6 })
	for _, grant := range f.scheduler.grantRequests() {
		if len(grant.Exclude) > 0 && !slices.Equal(grant.Exclude, []string{"ledger-0"}) {
			t.Errorf("excluded %v", grant.Exclude)
		}
	}
	if runs := s.engineStats("ledger-0").Started; runs != 0 {
		t.Fatalf("%d requests ran on the bad version", runs)
	}
}
