package callers

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/entry/admission"
	"kingcupcourse/internal/entry/reports"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

const (
	// ownerSearchTimeout bounds how long a run-once request looks for an owner
	// that answers: long enough for the members to agree on a new one.
	ownerSearchTimeout = 10 * time.Second
	// journalTakeoverTimeout bounds how long a run-once request waits for an
	// owner that has not yet taken over the journal.
	journalTakeoverTimeout = 3 * time.Second
	// refusalMargin is the time kept before the deadline for sending a refusal
	// if no owner was found.
	refusalMargin = 100 * time.Millisecond
	// ownerRetryInterval is the wait before all owners are asked again.
	ownerRetryInterval = 200 * time.Millisecond
)

// errNoScheduler is returned when no scheduler answered as the owner.
var errNoScheduler = eris.New("no scheduler answers")

// requestGrant asks the owner of the shard for permission to dispatch. It
// returns errNoScheduler if no scheduler answers, or the context's error. A
// run-once request can be placed only by the owner of its shard, so it keeps
// asking.
func (c *call) requestGrant(ctx context.Context) (message.GrantReply, error) {
	start := time.Now()
	owners := c.ticket.Owners
	for {
		reply, err := c.askOwners(ctx, owners)
		if ctx.Err() != nil || !c.ticket.RunOnce || !c.shouldAskAgain(start, reply, err) {
			return reply, err
		}
		if err := ring.Pause(ctx, ownerRetryInterval); err != nil {
			return reply, err
		}
		owners = c.currentOwners(ctx)
	}
}

// shouldAskAgain reports whether a run-once request asks the owners again
// after this reply. The first calls began at start.
func (c *call) shouldAskAgain(start time.Time, reply message.GrantReply, err error) bool {
	var until time.Time
	switch {
	case err != nil:
		until = start.Add(ownerSearchTimeout)
	case reply.Refusal != nil && reply.Refusal.Reason == core.ReasonJournalUnavailable:
		until = start.Add(journalTakeoverTimeout)
	}
	if latest := c.ticket.Deadline.Add(-refusalMargin); latest.Before(until) {
		until = latest
	}
	return time.Now().Add(ownerRetryInterval).Before(until)
}

// currentOwners asks the admission duty for the current ranking.
func (c *call) currentOwners(ctx context.Context) []message.Member {
	query := admission.QueryOwners{Reply: ring.NewReply[[]message.Member](), Shard: c.ticket.Shard}
	owners, _ := askAdmission(ctx, c.h.Admission, query, query.Reply)
	return owners
}

// askOwners asks the owners in rank order and follows their redirects.
func (c *call) askOwners(ctx context.Context, owners []message.Member) (message.GrantReply, error) {
	tried := map[string]bool{}
	var redirect string
	for ctx.Err() == nil {
		address := nextOwner(owners, redirect, tried)
		if address == "" {
			return message.GrantReply{}, errNoScheduler
		}
		tried[address] = true
		reply, err := c.askOwner(ctx, address)
		switch {
		case err != nil:
			c.h.Log.Warn("grant call failed", zap.String("request", c.id),
				zap.String("scheduler", address), zap.Error(err))
			c.abandonGrant()
		case !isNotOwnerReply(reply):
			return reply, nil
		}
		redirect = reply.Owner
	}
	return message.GrantReply{}, ctx.Err()
}

func nextOwner(owners []message.Member, redirect string, tried map[string]bool) string {
	if redirect != "" && !tried[redirect] {
		return redirect
	}
	for _, owner := range owners {
		if !tried[owner.Address] {
			return owner.Address
		}
	}
	return ""
}

// isNotOwnerReply reports whether the scheduler could not answer as the owner.
func isNotOwnerReply(reply message.GrantReply) bool {
	if reply.Refusal == nil {
		return reply.Grant == nil && reply.Prior == nil
	}
	switch reply.Refusal.Reason {
	case core.ReasonNotOwner, core.ReasonNotReady, core.ReasonDraining:
		return true
	}
	return false
}

// askOwner makes one grant call. The reports duty cancels it when the
// scheduler stops answering heartbeats.
func (c *call) askOwner(ctx context.Context, address string) (message.GrantReply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := reports.WatchGrant{Address: address, Attempt: c.attempt, Cancel: cancel}
	if err := c.h.Reports.Put(ctx, watch); err != nil {
		return message.GrantReply{}, err
	}
	defer c.sendReport(reports.UnwatchGrant{Address: address, Attempt: c.attempt})
	return c.h.Schedulers.Grant(ctx, address, c.grantRequest())
}

func (c *call) grantRequest() message.GrantRequest {
	request := message.GrantRequest{
		RequestID: c.id, Attempt: c.attempt, Host: c.h.Host,
		Account: c.account, Tier: c.ticket.Tier, Pool: c.ticket.Pool, Route: c.ticket.Route,
		Key: c.ticket.IdempotencyKey, Fingerprint: c.fingerprint, Exclude: c.exclude,
		DeadlineUnixMS: c.ticket.Deadline.UnixMilli(), ConfigVersion: c.ticket.ConfigVersion,
	}
	if c.parsed != nil {
		request.PromptTokens = c.parsed.PromptTokens()
		request.MaxOutputTokens = c.maxOutputTokens()
		request.PrefixBlocks = c.parsed.PrefixBlocks()
	}
	return request
}

// maxOutputTokens returns the caller's limit, or the route's default estimate
// if the caller set none.
func (c *call) maxOutputTokens() int {
	if c.parsed.MaxTokens > 0 {
		return c.parsed.MaxTokens
	}
	return c.ticket.OutputTokens
}

// abandonGrant ends an attempt whose grant call failed, because the scheduler
// may have granted it. A run-once request keeps its attempt, which the journal
// knows; any other request gets a new one.
func (c *call) abandonGrant() {
	if c.ticket.RunOnce {
		return
	}
	c.reportUndispatched()
}

// reportUndispatched reports the attempt as not dispatched and starts a new
// one.
func (c *call) reportUndispatched() {
	c.sendReport(reports.AttemptEnded{
		Shard: c.ticket.Shard, KeepUntil: c.keepUntil(),
		Outcome: c.buildOutcome(core.Grant{Attempt: c.attempt}, attemptEnd{result: core.ResultNotDispatched}),
	})
	c.attempt = newID()
}

// sendReport puts a message in the ring of the reports duty, even if the
// caller has disconnected.
func (c *call) sendReport(m reports.Message) {
	_ = c.h.Reports.Put(context.WithoutCancel(c.r.Context()), m)
}
