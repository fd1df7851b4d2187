package placement

import "slices"

// NotDraining rejects endpoints that are draining.
type NotDraining struct{}

// Name implements Filter.
func (NotDraining) Name() string { return "leaving" }

// Pass implements Filter.
func (NotDraining) Pass(c *Candidate, _ *Query) bool { return !c.Draining }

// Ready rejects endpoints that are loading a version.
type Ready struct{}

// Name implements Filter.
func (Ready) Name() string { return "not_ready" }

// Pass implements Filter.
func (Ready) Pass(c *Candidate, _ *Query) bool { return !c.NotReady }

// GoodVersion rejects endpoints with a version judged bad.
type GoodVersion struct{}

// Name implements Filter.
func (GoodVersion) Name() string { return "bad_version" }

// Pass implements Filter.
func (GoodVersion) Pass(c *Candidate, _ *Query) bool { return !c.BadVersion }

// VersionInForce rejects endpoints with a version that may get no traffic.
type VersionInForce struct{}

// Name implements Filter.
func (VersionInForce) Name() string { return "version_not_in_force" }

// Pass implements Filter.
func (VersionInForce) Pass(c *Candidate, _ *Query) bool { return !c.NoTraffic }

// BelowVersionShare rejects endpoints whose unproved version already has all
// the traffic that it may have.
type BelowVersionShare struct{}

// Name implements Filter.
func (BelowVersionShare) Name() string { return "version_share" }

// Pass implements Filter.
func (BelowVersionShare) Pass(c *Candidate, _ *Query) bool { return !c.AtVersionShare }

// BelowColdRate rejects endpoints that are cold and have all the requests that
// they may have at present.
type BelowColdRate struct{}

// Name implements Filter.
func (BelowColdRate) Name() string { return "cold" }

// Pass implements Filter.
func (BelowColdRate) Pass(c *Candidate, _ *Query) bool { return !c.AtColdRate }

// NotExcluded rejects the endpoints on which the request must not run again.
type NotExcluded struct{}

// Name implements Filter.
func (NotExcluded) Name() string { return "excluded" }

// Pass implements Filter.
func (NotExcluded) Pass(c *Candidate, q *Query) bool {
	return !slices.Contains(q.Request.Exclude, c.Endpoint.Name)
}

// FreeSlot rejects endpoints on which all slots are in use. Engines admit work
// in arrival order, so requests are held in the queue instead, where they can
// still be reordered.
type FreeSlot struct{}

// Name implements Filter.
func (FreeSlot) Name() string { return "no_free_slot" }

// Pass implements Filter.
func (FreeSlot) Pass(c *Candidate, _ *Query) bool {
	return c.Running+c.Untracked < c.Endpoint.Slots
}

// MeetsDeadline rejects endpoints that cannot finish the request in time. If the
// query requires certainty, it also rejects those that may finish too late.
type MeetsDeadline struct{}

// Name implements Filter.
func (MeetsDeadline) Name() string { return "deadline" }

// Pass implements Filter.
func (MeetsDeadline) Pass(c *Candidate, q *Query) bool {
	if q.RequireCertain {
		return c.PendingPrefill+c.MaxRunTime <= q.TimeLeft()
	}
	return c.PendingPrefill+c.MinRunTime <= q.TimeLeft()
}

// NotEvacuated rejects endpoints in an availability zone that is being emptied.
type NotEvacuated struct{}

// Name implements Filter.
func (NotEvacuated) Name() string { return "evacuated" }

// Pass implements Filter.
func (NotEvacuated) Pass(c *Candidate, _ *Query) bool { return !c.Evacuated }

// RegionAllowed rejects endpoints in a region in which the request may not be
// processed.
type RegionAllowed struct{}

// Name implements Filter.
func (RegionAllowed) Name() string { return "region_not_allowed" }

// Pass implements Filter.
func (RegionAllowed) Pass(c *Candidate, _ *Query) bool { return !c.RegionNotAllowed }
