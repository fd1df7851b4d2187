package queue

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/placement"
	waitlist "kingcupcourse/internal/decision/queue"
	"kingcupcourse/internal/message"
)

// maxSkipped is the number of requests of a tier that one placement round may
// skip because no free endpoint suits them.
const maxSkipped = 256

// waitSafetyFactor is the multiple of the maximum run time that must remain
// until the deadline for a request to wait for a faster endpoint.
const waitSafetyFactor = 1.5

// place runs one placement round: it visits waiting requests in order and places
// each for which an endpoint has a free slot.
func (d *Duty) place(now time.Time) {
	if !d.owned || d.waiting.Len() == 0 || d.isAwaitingReports(now) {
		return
	}
	d.buildCandidates(now)
	for tier := core.Tier(1); tier <= d.waiting.LowestTier() && d.anySlotFree(); tier++ {
		d.placeTier(tier, now)
	}
}

// placeTier places requests of one tier. Requests that are almost certain to
// finish in time go first: under overload the earliest deadlines are the
// hardest to meet, and a slot given to a request that misses its deadline is
// wasted. The remaining slots go to requests that may finish, before the next
// tier is served, unless such a request should wait for a faster endpoint.
func (d *Duty) placeTier(tier core.Tier, now time.Time) {
	var skipped []*waitlist.Item
	for len(skipped) < maxSkipped && d.anySlotFree() {
		item := d.waiting.PopTier(tier)
		if item == nil {
			break
		}
		if !d.tryPlace(item, true, now) {
			skipped = append(skipped, item)
		}
	}
	for _, item := range skipped {
		if !d.anySlotFree() || !d.tryPlace(item, false, now) {
			d.waiting.Requeue(item)
		}
	}
}

func (d *Duty) anySlotFree() bool {
	for i := range d.candidates {
		c := &d.candidates[i]
		if !c.Draining && !c.NotReady && !c.BadVersion && !c.NoTraffic && c.Running+c.Untracked < c.Endpoint.Slots {
			return true
		}
	}
	return false
}

// tryPlace places or drops a popped item. It returns false if the item must keep
// waiting.
func (d *Duty) tryPlace(item *waitlist.Item, requireCertain bool, now time.Time) bool {
	w := d.waiters[item.ID]
	if w == nil {
		d.waiting.Refund(item)
		return true
	}
	if !w.canPlace() {
		return false
	}
	start := time.Now()
	query := placement.Query{Request: &item.Request, Now: now, RequireCertain: requireCertain}
	d.fitToRequest(&w.request, &item.Request, now)
	if best, ok := placement.ShortestRunTime(d.candidates, &query); ok && best > query.TimeLeft() {
		d.waiting.Refund(item)
		d.drop(item, core.Refuse(core.ReasonDeadlineTooSoon, "it can no longer finish in time"))
		return true
	}
	if !requireCertain && d.shouldWaitForSlot(&query) {
		return false
	}
	decision := d.Policy.Place(d.candidates, &query)
	placementSeconds.Observe(time.Since(start).Seconds())
	if decision.Chosen == nil {
		return false
	}
	d.grant(item, w, decision, now)
	return true
}

// shouldWaitForSlot reports whether a request that is not certain to finish on
// a free endpoint is expected to finish on one that becomes free soon, with a
// margin in case the slot becomes free late.
func (d *Duty) shouldWaitForSlot(query *placement.Query) bool {
	for i := range d.candidates {
		c := &d.candidates[i]
		if !placement.Eligible(c, query) || c.AtVersionShare || c.Running < c.Endpoint.Slots {
			continue
		}
		spare := time.Duration(waitSafetyFactor * float64(c.MaxRunTime))
		if d.timeToFreeSlot(c, query.Now)+spare <= query.TimeLeft() {
			return true
		}
	}
	return false
}

// grant assigns a request to the chosen endpoint and tracks its attempt.
func (d *Duty) grant(item *waitlist.Item, w *waiter, decision placement.Decision, now time.Time) {
	chosen := *decision.Chosen
	e := d.endpoints[chosen.Endpoint.Name]
	d.waiting.Commit(item)
	delete(d.waiters, item.ID)
	firstToken := now.Add(chosen.PendingPrefill + chosen.Prefill)
	d.attempts.Add(&outstanding.Attempt{
		ID: item.ID, RequestID: item.Request.ID, Host: w.request.Host, Endpoint: e.Name, Version: chosen.Version,
		Route: item.Request.Route, Account: item.Request.Account,
		PrefillTokens: item.Request.PromptTokens - chosen.CachedTokens, ExpectedOutputTokens: d.estimateOutputTokens(&item.Request, typicalQuantile),
		GrantedAt: now, ExpectedFirstToken: firstToken, ExpectedFinish: now.Add(chosen.TimeToFinish()),
	}, now)
	d.recentTraffic.Add(chosen.Version)
	for _, block := range item.Request.PrefixBlocks {
		e.cache.Add(block)
	}
	d.refreshLoad(e.Name, now)
	w.reply.Send(d.grantReply(e, item.ID))
	d.logGrant(item, w, &chosen, decision, now)
}

func (d *Duty) refreshLoad(name string, now time.Time) {
	for i := range d.candidates {
		if d.candidates[i].Endpoint.Name == name {
			d.fillLoad(&d.candidates[i], now)
		}
	}
}

func (d *Duty) grantReply(e *endpoint, attempt string) message.GrantReply {
	return message.GrantReply{
		Grant:         &core.Grant{Attempt: attempt, Endpoint: e.Name, Address: e.Address, Version: e.version},
		ConfigVersion: d.configVersion(),
	}
}

func (d *Duty) configVersion() uint64 {
	if d.view == nil {
		return 0
	}
	return d.view.ManifestVersion
}
