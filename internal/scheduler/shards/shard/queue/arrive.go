package queue

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/estimate"
	"kingcupcourse/internal/decision/journal"
	"kingcupcourse/internal/decision/placement"
	waitlist "kingcupcourse/internal/decision/queue"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
)

const (
	defaultOutputTokens = estimate.DefaultOutputTokens
	// noEndpointRetryAfter is the retry hint while no endpoint can take the
	// request.
	noEndpointRetryAfter = time.Second
	// minRetryAfter is the shortest retry hint.
	minRetryAfter = 100 * time.Millisecond
)

// enqueue admits a request to the queue or refuses it.
func (d *Duty) enqueue(m inbox.RequestGrant, now time.Time) {
	request := coreRequest(&m.Request)
	if d.rejectEarly(m, now) || d.resumeRepeated(m) {
		return
	}
	item := &waitlist.Item{ID: m.Request.Attempt, Request: request, Weight: d.accountWeight(request.Account)}
	if refusal := d.checkAdmission(item, &m.Request, now); refusal != nil {
		d.refuse(m.Reply, &m.Request, refusal)
		return
	}
	shed, ok := d.waiting.Add(item)
	for _, victim := range shed {
		d.drop(victim, core.RefuseWithRetry(core.ReasonShed, "a more important request needed the place", d.retryHint()))
	}
	if !ok {
		if d.waiting.HasLessImportant(request.Tier) {
			inversionsTotal.WithLabelValues(d.Shard.Pool).Inc()
		}
		d.refuse(m.Reply, &m.Request, core.RefuseWithRetry(core.ReasonQueueFull, "the queue is full", d.retryHint()))
		return
	}
	w := &waiter{reply: m.Reply, request: m.Request, arrived: now}
	d.waiters[item.ID] = w
	d.reserve(w, now)
	d.scheduleTick(now)
}

// rejectEarly refuses requests that this scheduler must not queue. It reports
// whether it refused the request.
func (d *Duty) rejectEarly(m inbox.RequestGrant, now time.Time) bool {
	switch {
	case d.view == nil || d.view.Manifest == nil:
		d.refuse(m.Reply, &m.Request, core.RefuseWithRetry(core.ReasonNotReady, "no manifest yet", noEndpointRetryAfter))
	case !d.owned:
		d.refuse(m.Reply, &m.Request, d.notOwnerRefusal())
	case m.Request.Key == "" && d.isPoison(m.Request.Fingerprint, now):
		d.refuse(m.Reply, &m.Request, poisonRefusal())
	default:
		return false
	}
	return true
}

func poisonRefusal() *core.Refusal {
	return core.Refuse(core.ReasonPoison, "endpoints died under this request")
}

// resumeRepeated handles an attempt that was requested before, and reports
// whether it was. A waiting attempt keeps its place and gets the new reply
// channel; a granted attempt is granted again.
func (d *Duty) resumeRepeated(m inbox.RequestGrant) bool {
	if w := d.waiters[m.Request.Attempt]; w != nil {
		w.reply.Abandon(ring.ErrAbandoned)
		w.reply = m.Reply
		return true
	}
	attempt := d.attempts.Get(m.Request.Attempt)
	if attempt == nil || d.endpoints[attempt.Endpoint] == nil {
		return false
	}
	m.Reply.Send(d.grantReply(d.endpoints[attempt.Endpoint], m.Request.Attempt))
	return true
}

// checkAdmission sets the item's estimates and refuses a request that cannot
// finish in time. Only running work and the waiting work of its own and more
// important tiers count as ahead of it.
func (d *Duty) checkAdmission(item *waitlist.Item, r *message.GrantRequest, now time.Time) *core.Refusal {
	query := placement.Query{Request: &item.Request, Now: now}
	d.buildCandidates(now)
	d.fitToRequest(r, &item.Request, now)
	available, ok := d.measureCapacity(&query)
	if !ok {
		return core.RefuseWithRetry(core.ReasonNoEndpoint, "no endpoint can take the request", noEndpointRetryAfter)
	}
	item.Tokens = item.Request.PromptTokens + d.estimateOutputTokens(&item.Request, typicalQuantile)
	item.SlotTime = available.meanTime
	item.LatestStart = item.Request.Deadline.Add(-available.bestTime)
	left := query.TimeLeft()
	switch {
	case left <= 0:
		return core.Refuse(core.ReasonDeadlinePassed, "the deadline has passed")
	case available.bestTime > left:
		return core.Refuse(core.ReasonDeadlineTooSoon, "no endpoint is fast enough for the deadline")
	}
	if wait := available.startDelay(d.waiting.SlotTimeAhead(item)); wait+available.bestTime > left {
		return core.RefuseWithRetry(core.ReasonDeadlineTooSoon, "the work ahead does not leave enough time", max(minRetryAfter, wait))
	}
	return nil
}

// retryHint returns the time in which the pool is expected to process all
// waiting requests.
func (d *Duty) retryHint() time.Duration {
	slots := 0
	for i := range d.candidates {
		slots += d.candidates[i].Endpoint.Slots
	}
	return max(minRetryAfter, d.waiting.TotalSlotTime()/time.Duration(max(1, slots)))
}

func (d *Duty) accountWeight(account string) float64 {
	return orDefault(d.accountWeights[account], defaultWeight)
}

// reserve asks the journal to reserve the key of a run-once request. The
// request waits in the queue meanwhile.
func (d *Duty) reserve(w *waiter, now time.Time) {
	if w.request.Key == "" {
		return
	}
	w.reservationSent = now
	if d.Journal.TryPut(inbox.Reserve{Request: reservationRequest(&w.request)}) != nil {
		d.drop(d.waiting.Remove(w.request.Attempt), core.RefuseWithRetry(core.ReasonJournalUnavailable, "the journal is busy", minRetryAfter))
	}
}

func reservationRequest(r *message.GrantRequest) journal.ReserveRequest {
	return journal.ReserveRequest{Key: r.Key, Attempt: r.Attempt, Fingerprint: r.Fingerprint}
}

func coreRequest(r *message.GrantRequest) core.Request {
	return core.Request{
		ID: r.RequestID, Account: r.Account, Tier: max(1, r.Tier), Pool: r.Pool, Route: r.Route, Key: r.Key,
		Fingerprint: r.Fingerprint, PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens,
		PrefixBlocks: r.PrefixBlocks, Exclude: r.Exclude, Deadline: time.UnixMilli(r.DeadlineUnixMS),
	}
}
