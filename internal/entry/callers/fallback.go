package callers

import (
	"context"
	"time"

	"kingcupcourse/internal/core"
	decision "kingcupcourse/internal/decision/fallback"
	"kingcupcourse/internal/entry/fallback"
	"kingcupcourse/internal/ring"
)

// placeByFallback places a retryable request without a scheduler. Call
// releaseFallback when the attempt has ended.
func (c *call) placeByFallback(ctx context.Context) (placement, *core.Refusal) {
	place := fallback.Place{Reply: ring.NewReply[fallback.PlaceReply](), Request: decision.Request{
		Attempt: c.attempt, Pool: c.ticket.Pool, Tier: c.ticket.Tier,
		Exclude: c.exclude, Deadline: c.ticket.Deadline,
	}}
	if c.h.Fallback.Put(ctx, place) != nil {
		return placement{}, c.refusalBeforeDispatch()
	}
	placed, err := place.Wait(ctx)
	switch {
	case ctx.Err() != nil:
		c.releaseFallback()
		return placement{}, c.refusalBeforeDispatch()
	case err != nil:
		c.releaseFallback()
		return placement{}, core.RefuseWithRetry(core.ReasonNoScheduler, err.Error(), time.Second)
	case placed.Refusal != nil:
		c.releaseFallback()
		return placement{}, placed.Refusal
	}
	return placement{grant: placed.Grant, fallback: true}, nil
}

// releaseFallback releases the slot of the attempt at the fallback duty.
func (c *call) releaseFallback() {
	_ = c.h.Fallback.Put(context.WithoutCancel(c.r.Context()), fallback.Release{Attempt: c.attempt})
}
