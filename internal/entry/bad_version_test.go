package entry

import (
	"net/http"
	"slices"
	"testing"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/message"
)

// A grant that is older than a verdict, or comes from an owner that has not
// heard of it, must not bring a request onto the bad version.
func TestGrantForBadVersionIsNotDispatched(t *testing.T) {
	f := startStandins(t, 0, 2)
	r := newFixture(t, f.backend("ledger", "ledger-0"), f.backend("ledger", "ledger-1"))
	r.scheduler.pools["ledger"][0].Version = "v2"
	view := r.view()
	view.BadVersions = map[core.EndpointVersion]message.BadVersion{{Pool: "ledger", Version: "v2"}: {}}
	r.publish(view)
	for range 3 {
		if got := r.mustDo(http.MethodPost, "/v1/transfers", "{}", newKeyHeader()); got.status != http.StatusCreated {
			t.Fatalf("got %d", got.status)
		}
	}
	eventually(t, "outcomes", func() bool { return len(r.scheduler.results()) == 6 })
	for _, grant := range r.scheduler.grantRequests() {
		if len(grant.Exclude) > 0 && !slices.Equal(grant.Exclude, []string{"ledger-0"}) {
			t.Errorf("excluded %v", grant.Exclude)
		}
	}
	if runs := f.engineStats("ledger-0").Started; runs != 0 {
		t.Fatalf("%d requests ran on the bad version", runs)
	}
}
