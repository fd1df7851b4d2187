package placement

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/ring"
)

const (
	// flushPeriod is how long updates are batched into one message to a
	// coordinator.
	flushPeriod = 40 * time.Millisecond
	// updatesTimeout bounds the call that sends one message of updates.
	updatesTimeout = 150 * time.Millisecond
	// updatesCapacity bounds the queued updates. The next full list makes up for
	// a dropped one.
	updatesCapacity = 4096
)

// Reporter is the duty that reports the updates on this host's attempts to its
// own placement duty, and to the coordinators of their endpoints.
type Reporter struct {
	host   string
	inbox  *ring.Ring[Update]
	local  *ring.Ring[Message]
	client *http.Client
	log    *zap.Logger

	nextFlush time.Time // time of the next messages, zero while nothing is pending
}

// NewReporter returns the duty.
func NewReporter(host string, local *Duty, client *Client, log *zap.Logger) *Reporter {
	return &Reporter{
		host: host, inbox: ring.New[Update]("gateway_reporter", updatesCapacity), local: local.inbox,
		client: client.client, log: log,
	}
}

// Inbox returns the ring of updates to the duty.
func (r *Reporter) Inbox() *ring.Ring[Update] { return r.inbox }

// Serve implements supervisor.Duty.
func (r *Reporter) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, r.inbox, func(update Update) error { return r.add(ctx, update) },
		func() time.Time { return r.nextFlush }, func() error { return r.flush(ctx) })
}

func (r *Reporter) add(ctx context.Context, update Update) error {
	if flushAt := time.Now().Add(flushPeriod); r.nextFlush.IsZero() || flushAt.Before(r.nextFlush) {
		r.nextFlush = flushAt
	}
	return r.local.Put(ctx, ApplyUpdates{Updates: Updates{Host: r.host, Updates: []Update{update}}})
}

// flush sends the updates that are due. Updates that a coordinator does not accept
// are not sent again, as the next full list makes up for them.
func (r *Reporter) flush(ctx context.Context) error {
	take := takeOutgoing{Reply: ring.NewReply[takenUpdates]()}
	if err := r.local.Put(ctx, take); err != nil {
		return err
	}
	taken, err := take.Wait(ctx)
	if err != nil {
		return err
	}
	r.nextFlush = time.Time{}
	if taken.running {
		r.nextFlush = time.Now().Add(listPeriod)
	}
	for _, message := range taken.messages {
		if err := r.send(ctx, message); err != nil {
			return err
		}
	}
	return nil
}

// send sends a message to a coordinator, and tells the placement duty if that does
// not respond.
func (r *Reporter) send(ctx context.Context, message outgoingUpdates) error {
	callCtx, cancel := context.WithTimeout(ctx, updatesTimeout)
	defer cancel()
	var answer UpdatesAnswer
	err := codec.Call(callCtx, r.client, message.address, updatesPath, &message.updates, &answer)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err == nil && len(answer.Rooms) == 0:
		return nil
	case err == nil:
		return r.local.Put(ctx, heard{rooms: answer.Rooms})
	}
	r.log.Warn("sending updates to the coordinator failed", zap.String("keeper", message.address),
		zap.Int("updates", len(message.updates.Updates)), zap.String("error", err.Error()))
	return r.local.Put(ctx, unresponsive{message.address})
}
