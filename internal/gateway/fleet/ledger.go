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
	// reportCapacity bounds the reports that wait. Each host has one on its
	// way.
	reportCapacity = 256
	// maxDeaths bounds the deaths that are remembered.
	maxDeaths = 1024
)

// ledger is the duty that keeps the limits of all hosts that report here.
type ledger struct {
	inbox *ring.Ring[Message]
	views catalog.Subscription
	hosts *ring.Latest[[]string]

	tolerance Tolerance

	limits *quota.Ledger
	// list names this run of the process; deaths is its list of deaths, of
	// which the oldest that were dropped are counted.
	list    string
	deaths  []poison.Death
	dropped int
}

func newLedger(views catalog.Subscription, tolerance Tolerance) *ledger {
	return &ledger{
		inbox: ring.New[Message]("fleet_ledger", reportCapacity), views: views, tolerance: tolerance,
		hosts: ring.NewLatest[[]string](), limits: quota.NewLedger(), list: uuid.NewString(),
	}
}

// Serve implements supervisor.Duty.
func (l *ledger) Serve(ctx context.Context) error { return ring.Loop(ctx, l.inbox, l.take) }

func (l *ledger) take(m Message) error {
	if snapshot, ok := l.views.TryTake(); ok {
		l.limits.SetLimits(Limits(snapshot.Configuration, l.tolerance))
	}
	if hosts, ok := l.hosts.TryTake(); ok {
		l.limits.SetHosts(hosts)
	}
	m.handle(l, time.Now())
	return nil
}

func (m wanted) handle(l *ledger, now time.Time) {
	allowed, retry := l.limits.Acquire(m.want.Account, m.want.Units, now)
	m.Send(AcquireResponse{Allowed: allowed, RetryAfterMS: retry.Milliseconds()})
}

func (m reported) handle(l *ledger, now time.Time) {
	l.addDeaths(m.report.Deaths)
	answer := ReportResponse{
		Grants:      l.limits.Report(m.report.Host, m.report.Uses, now),
		DeathListID: l.list, KnownDeaths: l.dropped + len(l.deaths),
	}
	known := 0
	if m.report.DeathListID == l.list {
		known = max(0, m.report.KnownDeaths-l.dropped)
	}
	if known < len(l.deaths) {
		answer.Deaths = append(answer.Deaths, l.deaths[known:]...)
	}
	m.Send(answer)
}

func (l *ledger) addDeaths(deaths []poison.Death) {
	l.deaths = append(l.deaths, deaths...)
	if over := len(l.deaths) - maxDeaths; over > 0 {
		l.deaths, l.dropped = append([]poison.Death(nil), l.deaths[over:]...), l.dropped+over
	}
}
