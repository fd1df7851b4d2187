package callers

import (
	"context"
	"time"

	"kingcupcourse/internal/core"
	decision "kingcupcourse/internal/decision/fallback"
	"kingcupcourse/internal/entry/fallback"
	"kingcupcourse/internal/ring"
)

// placeAlone places a repeatable request without a scheduler. The placement
// ends with freeAlone.
func (c *call) placeAlone(ctx context.Context) (placement, *core.Refusal) {
	place := fallback.Place{Reply: ring.NewReply[fallback.Placed](), Request: decision.Request{
		Attempt: c.attempt, Pool: c.ticket.Pool, Tier: c.ticket.Tier,
		Exclude: c.exclude, Deadline: c.ticket.Deadline,
	}}
	if c.h.Fallback.Put(ctx, place) != nil {
		return placement{}, c.endedEarly()
	}
	placed, err := place.Wait(ctx)
	switch {
	case ctx.Err() != nil:
		c.freeAlone()
		return placement{}, c.endedEarly()
	case err != nil:
		c.freeAlone()
		return placement{}, core.RefuseWithRetry(core.ReasonNoScheduler, err.Error(), time.Second)
	case placed.Refusal != nil:
		c.freeAlone()
		return placement{}, placed.Refusal
	}
	return placement{grant: placed.Grant, fallback: true}, nil
}

// freeAlone gives the slot back.
func (c *call) freeAlone() {
	_ = c.h.Fallback.Put(context.WithoutCancel(c.r.Context()), fallback.Free{Attempt: c.attempt})
}
