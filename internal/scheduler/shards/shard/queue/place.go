package queue

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/placement"
	waitlist "kingcupcourse/internal/decision/queue"
	"kingcupcourse/internal/message"
)

// maxSkipped is how many requests of a tier one round may pass over because
// no free endpoint suits them.
const maxSkipped = 256

// waitSafetyFactor is how many times the time for a sure finish must be left
// for a request to wait for a faster endpoint.
const waitSafetyFactor = 1.5

// place runs one placement round: it takes requests in their order and
// places each for which an endpoint is free.
func (d *Duty) place(now time.Time) {
	if !d.owned || d.waiting.Len() == 0 || d.isAwaitingReports(now) {
		return
	}
	d.buildCandidates(now)
	for tier := core.Tier(1); tier <= d.waiting.LowestTier() && d.anySlotFree(); tier++ {
		d.placeTier(tier, now)
	}
}

// placeTier places requests of one tier. Those that will almost surely finish
// in time go first: under overload the earliest deadlines are those that are
// hardest to meet, and a slot spent on one that fails is lost to all. What
// slots are left go to those that may finish, before the next tier, unless
// waiting for a faster endpoint is better for them.
func (d *Duty) placeTier(tier core.Tier, now time.Time) {
	var aside []*waitlist.Item
	for len(aside) < maxSkipped && d.anySlotFree() {
		item := d.waiting.PopTier(tier)
		if item == nil {
			break
		}
		if !d.tryPlace(item, true, now) {
			aside = append(aside, item)
		}
	}
	for _, item := range aside {
		if !d.anySlotFree() || !d.tryPlace(item, false, now) {
			d.waiting.Requeue(item)
		}
	}
}

func (d *Duty) anySlotFree() bool {
	for i := range d.candidates {
		c := &d.candidates[i]
		if !c.Leaving && !c.NotReady && !c.BadVersion && !c.NoTraffic && c.Running+c.Untracked < c.Endpoint.Slots {
			return true
		}
	}
	return false
}

// tryPlace places or drops a popped item. It returns false if the item has
// to wait on.
func (d *Duty) tryPlace(item *waitlist.Item, sure bool, now time.Time) bool {
	w := d.waiters[item.ID]
	if w == nil {
		d.waiting.Refund(item)
		return true
	}
	if !w.canPlace() {
		return false
	}
	begun := time.Now()
	need := placement.Query{Request: &item.Request, Now: now, RequireCertain: sure}
	d.fitToRequest(&w.request, &item.Request, now)
	if best, ok := placement.ShortestRunTime(d.candidates, &need); ok && best > need.TimeLeft() {
		d.waiting.Refund(item)
		d.drop(item, core.Refuse(core.ReasonDeadlineTooSoon, "it can no longer finish in time"))
		return true
	}
	if !sure && d.shouldWaitForSlot(&need) {
		return false
	}
	decision := d.Policy.Place(d.candidates, &need)
	placementSeconds.Observe(time.Since(begun).Seconds())
	if decision.Chosen == nil {
		return false
	}
	d.grant(item, w, decision, now)
	return true
}

// shouldWaitForSlot tells whether a request that will not surely finish on the free
// endpoints is expected to do so on one that gets free soon, with time to
// spare if that comes late.
func (d *Duty) shouldWaitForSlot(need *placement.Query) bool {
	for i := range d.candidates {
		c := &d.candidates[i]
		if !placement.Eligible(c, need) || c.AtVersionShare || c.Running < c.Endpoint.Slots {
			continue
		}
		spare := time.Duration(waitSafetyFactor * float64(c.MaxRunTime))
		if d.timeToFreeSlot(c, need.Now)+spare <= need.TimeLeft() {
			return true
		}
	}
	return false
}

// grant gives a request its endpoint and counts it there.
func (d *Duty) grant(item *waitlist.Item, w *waiter, decision placement.Decision, now time.Time) {
	chosen := *decision.Chosen
	e := d.endpoints[chosen.Endpoint.Name]
	d.waiting.Commit(item)
	delete(d.waiters, item.ID)
	first := now.Add(chosen.PendingPrefill + chosen.Prefill)
	d.attempts.Add(&outstanding.Attempt{
		ID: item.ID, RequestID: item.Request.ID, Host: w.request.Host, Endpoint: e.Name, Version: chosen.Version,
		Route: item.Request.Route, Account: item.Request.Account,
		PrefillTokens: item.Request.PromptTokens - chosen.CachedTokens, ExpectedOutputTokens: d.estimateOutputTokens(&item.Request, typicalQuantile),
		GrantedAt: now, ExpectedFirstToken: first, ExpectedFinish: now.Add(chosen.TimeToFinish()),
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
