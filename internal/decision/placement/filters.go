package placement

import "slices"

// Leaving rejects endpoints that are leaving.
type Leaving struct{}

// Name implements Filter.
func (Leaving) Name() string { return "leaving" }

// Pass implements Filter.
func (Leaving) Pass(c *Candidate, _ *Need) bool { return !c.Leaving }

// Ready rejects endpoints that are loading a version.
type Ready struct{}

// Name implements Filter.
func (Ready) Name() string { return "not_ready" }

// Pass implements Filter.
func (Ready) Pass(c *Candidate, _ *Need) bool { return !c.NotReady }

// GoodVersion rejects endpoints with a version judged bad.
type GoodVersion struct{}

// Name implements Filter.
func (GoodVersion) Name() string { return "bad_version" }

// Pass implements Filter.
func (GoodVersion) Pass(c *Candidate, _ *Need) bool { return !c.BadVersion }

// VersionInForce rejects endpoints with a version that may get no traffic.
type VersionInForce struct{}

// Name implements Filter.
func (VersionInForce) Name() string { return "version_not_in_force" }

// Pass implements Filter.
func (VersionInForce) Pass(c *Candidate, _ *Need) bool { return !c.NoTraffic }

// VersionShare rejects endpoints with an unproved version that has all the
// traffic it may have.
type VersionShare struct{}

// Name implements Filter.
func (VersionShare) Name() string { return "version_share" }

// Pass implements Filter.
func (VersionShare) Pass(c *Candidate, _ *Need) bool { return !c.ShareReached }

// Excluded rejects the endpoints that the request must not run on again.
type Excluded struct{}

// Name implements Filter.
func (Excluded) Name() string { return "excluded" }

// Pass implements Filter.
func (Excluded) Pass(c *Candidate, n *Need) bool {
	return !slices.Contains(n.Request.Exclude, c.Endpoint.Name)
}

// FreeSlot rejects endpoints that run as many requests as they have slots.
// Engines admit in arrival order, so work is held back in the queue, where
// it can still be reordered.
type FreeSlot struct{}

// Name implements Filter.
func (FreeSlot) Name() string { return "no_free_slot" }

// Pass implements Filter.
func (FreeSlot) Pass(c *Candidate, _ *Need) bool {
	return c.Running+c.Foreign < c.Endpoint.Slots
}

// MeetsDeadline rejects endpoints that cannot finish the request in time, or
// on demand those that may not.
type MeetsDeadline struct{}

// Name implements Filter.
func (MeetsDeadline) Name() string { return "deadline" }

// Pass implements Filter.
func (MeetsDeadline) Pass(c *Candidate, n *Need) bool {
	if n.Sure {
		return c.PendingPrefill+c.SureTime <= n.Left()
	}
	return c.PendingPrefill+c.LeastTime <= n.Left()
}
