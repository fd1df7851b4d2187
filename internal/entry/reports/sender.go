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
	// reportTimeout bounds one report, and so the time in which a silent
	// scheduler is noticed.
	reportTimeout = time.Second
	// senderRingCapacity bounds the reports that wait for one sender. A
	// shard has at most one on its way.
	senderRingCapacity = 64
)

// sendRequest is a report for a scheduler.
type sendRequest struct {
	shard    ownership.Shard
	sequence uint64
	address  string
	report   message.OutcomeReport
}

// sendResult tells the owner what became of a report.
type sendResult struct {
	sendRequest
	ack message.OutcomeAck
	err error
}

// Sender is a duty that makes the calls, one at a time.
type Sender struct {
	inbox    *ring.Ring[sendRequest]
	reporter Inbox
	client   *peer.Client
}

// Serve implements supervisor.Duty.
func (s *Sender) Serve(ctx context.Context) error {
	return ring.Loop(ctx, s.inbox, func(m sendRequest) error {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		ack, err := s.client.Report(call, m.address, m.report)
		return s.reporter.Put(context.WithoutCancel(ctx), sendResult{m, ack, err})
	})
}

func (m sendResult) handle(o *Reporter, now time.Time) {
	s := o.shardState(m.shard)
	if m.sequence != s.sequence || s.sentAt.IsZero() {
		return
	}
	o.updateReachability(m.address, peer.ReachabilityOf(m.err))
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
