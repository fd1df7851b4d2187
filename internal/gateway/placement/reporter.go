package placement

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/ring"
)

// Report is an update on an attempt of this host, with the address of the
// coordinator at that time.
type Report struct {
	Update      Update
	Coordinator string
}

// Reporter is the duty that reports the updates on this host's attempts to its
// own placement duty and to the coordinator.
type Reporter struct {
	host   string
	inbox  *ring.Ring[Report]
	local  *ring.Ring[Message]
	client *http.Client
	log    *zap.Logger

	coordinator string
	pending     []Update
	nextFlush   time.Time // time of the next message, zero while nothing is pending
	lastList    time.Time // time of the last full list
}

// NewReporter returns the duty. It also reports to the host's own placement
// duty.
func NewReporter(host string, local *Duty, client *Client, log *zap.Logger) *Reporter {
	return &Reporter{
		host: host, inbox: ring.New[Report]("gateway_reporter", updatesCapacity), local: local.inbox,
		client: client.client, log: log,
	}
}

// Inbox returns the ring of reports to the duty.
func (r *Reporter) Inbox() *ring.Ring[Report] { return r.inbox }

// Serve implements supervisor.Duty.
func (r *Reporter) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, r.inbox, func(report Report) error { return r.add(ctx, report) },
		func() time.Time { return r.nextFlush }, func() error { return r.flush(ctx) })
}

func (r *Reporter) add(ctx context.Context, report Report) error {
	update := Updates{Host: r.host, Updates: []Update{report.Update}}
	if err := r.local.Put(ctx, ApplyUpdates{Updates: update}); err != nil {
		return err
	}
	if report.Coordinator != r.coordinator {
		r.coordinator, r.lastList = report.Coordinator, time.Time{}
	}
	if r.coordinator == "" {
		return nil
	}
	r.pending = append(r.pending, report.Update)
	if r.nextFlush.IsZero() {
		r.nextFlush = time.Now().Add(flushPeriod)
	}
	return nil
}

// flush sends the pending updates, with the full list if that is due. Updates
// that the coordinator does not accept are not sent again, as the next full list
// makes up for them.
func (r *Reporter) flush(ctx context.Context) error {
	now := time.Now()
	updates := Updates{Host: r.host, Updates: r.pending}
	r.pending, r.nextFlush = nil, time.Time{}
	if now.Sub(r.lastList) >= listPeriod {
		req := ListRunning{Reply: ring.NewReply[[]Running]()}
		if err := r.local.Put(ctx, req); err != nil {
			return err
		}
		running, err := req.Wait(ctx)
		if err != nil {
			return err
		}
		updates.Running, updates.Full, r.lastList = running, true, now
	}
	if len(updates.Running) > 0 {
		r.nextFlush = now.Add(listPeriod)
	}
	r.send(ctx, updates)
	return nil
}

func (r *Reporter) send(ctx context.Context, updates Updates) {
	if r.coordinator == "" || (len(updates.Updates) == 0 && !updates.Full) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, updatesTimeout)
	defer cancel()
	var response struct{}
	if err := codec.Call(ctx, r.client, r.coordinator, updatesPath, &updates, &response); err != nil {
		r.log.Warn("sending updates to the coordinator failed", zap.String("keeper", r.coordinator), zap.Int("updates", len(updates.Updates)),
			zap.String("error", err.Error()))
	}
}
