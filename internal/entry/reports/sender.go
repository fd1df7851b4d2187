package reports

import (
	"context"
	"time"

	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/entry/peer"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

const (
	// reportTimeout bounds one report call, and so the time after which a
	// silent scheduler is noticed.
	reportTimeout = time.Second
	// senderRingCapacity bounds the reports that wait for one sender. A shard
	// has at most one report in flight.
	senderRingCapacity = 64
)

// sendRequest is a report to be sent to a scheduler.
type sendRequest struct {
	shard    ownership.Shard
	sequence uint64
	address  string
	report   message.OutcomeReport
}

// sendResult is the result of a report call.
type sendResult struct {
	sendRequest
	ack message.OutcomeAck
	err error
}

// Sender is a duty that makes report calls, one at a time.
type Sender struct {
	inbox    *ring.Ring[sendRequest]
	reporter Inbox
	client   *peer.Client
}

// Serve implements supervisor.Duty.
func (s *Sender) Serve(ctx context.Context) error {
	return ring.Loop(ctx, s.inbox, func(m sendRequest) error {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		ack, err := s.client.Report(callCtx, m.address, m.report)
		return s.reporter.Put(context.WithoutCancel(ctx), sendResult{m, ack, err})
	})
}

func (m sendResult) handle(r *Reporter, now time.Time) {
	s := r.shardState(m.shard)
	if m.sequence != s.sequence || s.sentAt.IsZero() {
		return
	}
	r.updateReachability(m.address, peer.ReachabilityOf(m.err))
	switch {
	case m.err != nil:
		reportsTotal.WithLabelValues("failed").Inc()
		s.handleFailure(now)
	case m.ack.Owner != "":
		reportsTotal.WithLabelValues("redirected").Inc()
		s.handleRedirect(m.ack.Owner, now)
	default:
		reportsTotal.WithLabelValues("acknowledged").Inc()
		s.handleAck()
	}
}
