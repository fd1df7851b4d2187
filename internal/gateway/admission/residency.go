package admission

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/residency"
)

// noRegionRetryAfter is the retry delay for a request that no region may process.
// Only another configuration helps.
const noRegionRetryAfter = time.Second

// restrict sets the regions that both the ticket's route and the account, which may
// be nil, allow.
func (t *Ticket) restrict(account *catalog.Account) {
	var ofAccount []core.Region
	if account != nil {
		ofAccount = account.AllowedRegions
	}
	var found bool
	if t.AllowedRegions, found = residency.Allowed(t.Route.AllowedRegions, ofAccount); !found {
		t.Refusal = core.RefuseWithRetry(core.ReasonRegionNotAllowed, "no region is allowed for both the route and the client account", noRegionRetryAfter)
	}
}
