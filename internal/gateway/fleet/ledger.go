package fleet

import (
	"context"
	"time"

	"github.com/google/uuid"

	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/decision/quota"
	"kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/ring"
)

const (
	// inboxCapacity bounds the queued reports. Each host has at most one in
	// flight.
	inboxCapacity = 256
	// maxListedDeaths bounds the list of endpoint deaths.
	maxListedDeaths = 1024
)

// ledger is the duty that accounts for the limits across all hosts that report
// to this one.
type ledger struct {
	inbox     *ring.Ring[Message]
	snapshots catalog.Subscription
	hosts     *ring.Latest[[]string]

	tolerance Tolerance

	quotas *quota.Ledger
	// listID identifies the death list of this run of the process. deaths holds
	// the newest entries of the list, droppedDeaths counts the dropped ones.
	listID        string
	deaths        []poison.Death
	droppedDeaths int
}

func newLedger(snapshots catalog.Subscription, tolerance Tolerance) *ledger {
	return &ledger{
		inbox: ring.New[Message]("fleet_ledger", inboxCapacity), snapshots: snapshots, tolerance: tolerance,
		hosts: ring.NewLatest[[]string](), quotas: quota.NewLedger(), listID: uuid.NewString(),
	}
}

// Serve implements supervisor.Duty.
func (l *ledger) Serve(ctx context.Context) error { return ring.Loop(ctx, l.inbox, l.process) }

func (l *ledger) process(m Message) error {
	if snapshot, ok := l.snapshots.TryTake(); ok {
		l.quotas.SetLimits(Limits(snapshot.Configuration, l.tolerance))
	}
	if hosts, ok := l.hosts.TryTake(); ok {
		l.quotas.SetHosts(hosts)
	}
	m.handle(l, time.Now())
	return nil
}

func (m acquireMessage) handle(l *ledger, now time.Time) {
	allowed, retryAfter := l.quotas.Acquire(m.request.Account, m.request.Units, now)
	m.Send(AcquireResponse{Allowed: allowed, RetryAfterMS: retryAfter.Milliseconds()})
}

func (m reportMessage) handle(l *ledger, now time.Time) {
	l.addDeaths(m.report.Deaths)
	response := ReportResponse{
		Grants:      l.quotas.Report(m.report.Host, m.report.Uses, now),
		DeathListID: l.listID, KnownDeaths: l.droppedDeaths + len(l.deaths),
	}
	known := 0
	if m.report.DeathListID == l.listID {
		known = max(0, m.report.KnownDeaths-l.droppedDeaths)
	}
	if known < len(l.deaths) {
		response.Deaths = append(response.Deaths, l.deaths[known:]...)
	}
	m.Send(response)
}

func (l *ledger) addDeaths(deaths []poison.Death) {
	l.deaths = append(l.deaths, deaths...)
	if excess := len(l.deaths) - maxListedDeaths; excess > 0 {
		l.deaths, l.droppedDeaths = append([]poison.Death(nil), l.deaths[excess:]...), l.droppedDeaths+excess
	}
}
