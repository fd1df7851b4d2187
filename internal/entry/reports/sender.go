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
	// sendTimeout bounds one report, and so the time in which a silent
	// scheduler is noticed.
	sendTimeout = time.Second
	// senderRingCapacity bounds the reports that wait for one sender. A
	// shard has at most one on its way.
	senderRingCapacity = 64
)

// send is a report for a scheduler.
type send struct {
	shard    ownership.Shard
	sequence uint64
	address  string
	report   message.OutcomeReport
}

// sent tells the owner what became of a report.
type sent struct {
	send
	ack message.OutcomeAck
	err error
}

// Sender is a duty that makes the calls, one at a time.
type Sender struct {
	inbox  *ring.Ring[send]
	owner  Inbox
	client *peer.Client
}

// Serve implements supervisor.Duty.
func (s *Sender) Serve(ctx context.Context) error {
	return ring.Loop(ctx, s.inbox, func(m send) error {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
		defer cancel()
		ack, err := s.client.Report(call, m.address, m.report)
		return s.owner.Put(context.WithoutCancel(ctx), sent{m, ack, err})
	})
}

func (m sent) handle(o *Owner, now time.Time) {
	s := o.state(m.shard)
	if m.sequence != s.sequence || s.sentAt.IsZero() {
		return
	}
	o.heard(m.address, peer.SilenceOf(m.err))
	switch {
	case m.err != nil:
		sendsTotal.WithLabelValues("failed").Inc()
		s.failed(now)
	case m.ack.Owner != "":
		sendsTotal.WithLabelValues("redirected").Inc()
		s.redirected(m.ack.Owner, now)
	default:
		sendsTotal.WithLabelValues("acknowledged").Inc()
		s.acknowledged()
	}
}
