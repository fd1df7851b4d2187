package placement

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/ring"
)

// Report is an update of an attempt of this host, and the keeper at the time.
type Report struct {
	Update      Update
	Coordinator string
}

// Reporter is the duty that tells the keeper what becomes of this host's
// attempts.
type Reporter struct {
	host   string
	inbox  *ring.Ring[Report]
	own    *ring.Ring[Message]
	client *http.Client
	log    *zap.Logger

	keeper  string
	waiting []Update
	next    time.Time // of the next message, zero while nothing waits
	listed  time.Time // of the last whole list
}

// NewReporter returns the duty, beside the host's own placement duty.
func NewReporter(host string, own *Duty, peers *Client, log *zap.Logger) *Reporter {
	return &Reporter{
		host: host, inbox: ring.New[Report]("gateway_reporter", updatesCapacity), own: own.inbox,
		client: peers.client, log: log,
	}
}

// Inbox is where updates are put.
func (r *Reporter) Inbox() *ring.Ring[Report] { return r.inbox }

// Serve implements supervisor.Duty.
func (r *Reporter) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, r.inbox, func(report Report) error { return r.take(ctx, report) },
		func() time.Time { return r.next }, func() error { return r.flush(ctx) })
}

func (r *Reporter) take(ctx context.Context, report Report) error {
	own := Updates{Host: r.host, Updates: []Update{report.Update}}
	if err := r.own.Put(ctx, ApplyUpdates{Updates: own}); err != nil {
		return err
	}
	if report.Coordinator != r.keeper {
		r.keeper, r.listed = report.Coordinator, time.Time{}
	}
	if r.keeper == "" {
		return nil
	}
	r.waiting = append(r.waiting, report.Update)
	if r.next.IsZero() {
		r.next = time.Now().Add(flushPeriod)
	}
	return nil
}

// flush sends what waits, with the whole list when that is due. What the
// keeper does not take is not sent again: its next list tells as much.
func (r *Reporter) flush(ctx context.Context) error {
	now := time.Now()
	updates := Updates{Host: r.host, Updates: r.waiting}
	r.waiting, r.next = nil, time.Time{}
	if now.Sub(r.listed) >= listPeriod {
		ask := ListRunning{Reply: ring.NewReply[[]Running]()}
		if err := r.own.Put(ctx, ask); err != nil {
			return err
		}
		running, err := ask.Wait(ctx)
		if err != nil {
			return err
		}
		updates.Running, updates.Full, r.listed = running, true, now
	}
	if len(updates.Running) > 0 {
		r.next = now.Add(listPeriod)
	}
	r.send(ctx, updates)
	return nil
}

func (r *Reporter) send(ctx context.Context, updates Updates) {
	if r.keeper == "" || (len(updates.Updates) == 0 && !updates.Full) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, updatesTimeout)
	defer cancel()
	var taken struct{}
	if err := codec.Call(ctx, r.client, r.keeper, updatesPath, &updates, &taken); err != nil {
		r.log.Warn("keeper did not take the updates", zap.String("keeper", r.keeper), zap.Int("updates", len(updates.Updates)),
			zap.String("error", err.Error()))
	}
}
