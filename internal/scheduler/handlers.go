package scheduler

import (
	"context"
	"net/http"
	"time"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
)

const (
	// cancelTimeout limits how long a handler waits for space in the queue's
	// ring to cancel a request whose caller has disconnected. Without the
	// cancellation the queue drops the request at its deadline.
	cancelTimeout = time.Second
	// notReadyRetryAfter is the retry hint while the pool is unknown here.
	notReadyRetryAfter = 500 * time.Millisecond
	// busyRetryAfter is the retry hint when the queue's ring is full.
	busyRetryAfter = 200 * time.Millisecond
)

// handlers serves the requests of entries and movers. Each call runs on the
// goroutine of its connection, which acts as the duty of that caller.
type handlers struct {
	shards *ring.Ring[inbox.ManagerMessage]
}

func (h *handlers) register(mux *http.ServeMux) {
	mux.Handle(message.PathGrants, codec.Handle(h.grant))
	mux.Handle(message.PathOutcomes, codec.Handle(h.outcomes))
	mux.Handle(message.PathEvidence, codec.Handle(h.evidence))
}

// findQueue returns the ring of the pool's queue, or nil if this process has
// no shard of the pool.
func (h *handlers) findQueue(ctx context.Context, pool string) (*ring.Ring[inbox.QueueMessage], error) {
	find := inbox.FindQueue{Reply: ring.NewReply[*ring.Ring[inbox.QueueMessage]](), Pool: pool}
	if err := h.shards.Put(ctx, find); err != nil {
		return nil, err
	}
	return find.Wait(ctx)
}

// grant waits until the request is placed or refused. If the call ends first,
// it cancels the request.
func (h *handlers) grant(ctx context.Context, r *message.GrantRequest) (*message.GrantReply, error) {
	queue, err := h.findQueue(ctx, r.Pool)
	if err != nil {
		return nil, err
	}
	if queue == nil {
		return refusalReply(core.RefuseWithRetry(core.ReasonNotReady, "the pool is not known here", notReadyRetryAfter)), nil
	}
	grant := inbox.RequestGrant{Reply: ring.NewReply[message.GrantReply](), Request: *r}
	if queue.TryPut(grant) != nil {
		return refusalReply(core.RefuseWithRetry(core.ReasonQueueFull, "the scheduler is busy", busyRetryAfter)), nil
	}
	reply, err := grant.Wait(ctx)
	if err != nil {
		cancelRequest(ctx, queue, inbox.CancelRequest{Attempt: r.Attempt, Reply: grant.Reply})
		return nil, err
	}
	return &reply, nil
}

func cancelRequest(ctx context.Context, queue *ring.Ring[inbox.QueueMessage], request inbox.CancelRequest) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	_ = queue.Put(bounded, request) // on failure the queue drops it at its deadline
}

func (h *handlers) outcomes(ctx context.Context, r *message.OutcomeReport) (*message.OutcomeAck, error) {
	queue, err := h.findQueue(ctx, r.Pool)
	if err != nil {
		return nil, err
	}
	if queue == nil {
		return nil, &codec.StatusError{Status: http.StatusServiceUnavailable, Message: "the pool is not known here"}
	}
	report := inbox.ReportOutcomes{Reply: ring.NewReply[message.OutcomeAck](), Report: *r}
	if err := queue.Put(ctx, report); err != nil {
		return nil, err
	}
	ack, err := report.Wait(ctx)
	return &ack, err
}

// evidence serves the mover that holds a move's lease.
func (h *handlers) evidence(ctx context.Context, r *message.EvidenceRequest) (*message.EvidenceReply, error) {
	queue, err := h.findQueue(ctx, r.Pool)
	if err != nil {
		return nil, err
	}
	if queue == nil {
		return nil, &codec.StatusError{Status: http.StatusServiceUnavailable, Message: "the pool is not known here"}
	}
	query := inbox.QueryEvidence{Reply: ring.NewReply[message.EvidenceReply](), Version: r.Version}
	if err := queue.Put(ctx, query); err != nil {
		return nil, err
	}
	reply, err := query.Wait(ctx)
	return &reply, err
}

func refusalReply(refusal *core.Refusal) *message.GrantReply {
	return &message.GrantReply{Refusal: &message.Refusal{Refusal: *refusal, RetryAfterMS: refusal.RetryAfter.Milliseconds()}}
}
