package fleet

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/decision/fleet"
	"kingcupcourse/internal/gateway/moves"
	"kingcupcourse/internal/ring"
)

const (
	// reportPeriod is the time between two reports in a small fleet: short
	// against the window of a limit, eight seconds.
	reportPeriod = 150 * time.Millisecond
	// keeperRate bounds the reports a second that one host takes, so that a
	// large fleet reports less often.
	keeperRate = 140
	// reportTimeout bounds one report. A host that is frozen or cut off must
	// not hold up the grants for longer.
	reportTimeout = 150 * time.Millisecond
	// silentTime is how long a host that did not answer is not asked again.
	silentTime = time.Second
	// newsCapacity bounds the lists of hosts that wait.
	newsCapacity = 16
)

// Admission is what the exchange needs of the admission duty.
type Admission interface {
	// CollectUsage returns what was used since the last report that was answered.
	CollectUsage(ctx context.Context) (Usage, error)
	// ApplyReport hands an answer on.
	ApplyReport(ctx context.Context, granted ReportResult) error
}

// exchange is the duty that reports to the keeper of the ledger: the first of
// the ranked hosts that answers, at the last this host itself.
type exchange struct {
	self      string
	members   *ring.Ring[map[string]string]
	own       *ledger
	admission Admission
	moves     *ring.Ring[moves.Message]
	client    *http.Client
	log       *zap.Logger

	addresses map[string]string // by host
	ranked    []string
	silent    map[string]time.Time // until when a host is not asked
	next      time.Time
	keeper    string
	list      string
	known     int
}

func newExchange(c Config, own *ledger) *exchange {
	e := &exchange{
		self: c.Host.Name, own: own, admission: c.Admission, moves: c.Moves, log: c.Log,
		members: ring.New[map[string]string]("fleet_members", newsCapacity),
		client:  &http.Client{Transport: codec.NewTransport(0)},
		silent:  map[string]time.Time{},
	}
	e.setMembers(map[string]string{e.self: ""})
	return e
}

// Serve implements supervisor.Duty.
func (e *exchange) Serve(ctx context.Context) error {
	e.next = time.Now()
	return ring.LoopUntil(ctx, e.members, func(addresses map[string]string) error {
		e.setMembers(addresses)
		return nil
	}, func() time.Time { return e.next }, func() error { return e.tick(ctx) })
}

func (e *exchange) setMembers(addresses map[string]string) {
	e.addresses = addresses
	e.ranked = fleet.SortByHash(addresses)
	e.own.hosts.Publish(e.ranked)
}

// tick makes one report and hands its answer to admission.
func (e *exchange) tick(ctx context.Context) error {
	period := max(reportPeriod, time.Duration(len(e.ranked))*time.Second/keeperRate)
	e.next = time.Now().Add(period)
	collected, err := e.admission.CollectUsage(ctx)
	if err != nil {
		return err
	}
	report := Report{Host: e.self, Uses: collected.Uses, Deaths: collected.Deaths, KnownDeaths: e.known, DeathListID: e.list}
	answer, err := e.report(ctx, report)
	if err != nil {
		return err
	}
	e.list, e.known = answer.DeathListID, answer.KnownDeaths
	return e.admission.ApplyReport(ctx, ReportResult{Grants: answer.Grants, Deaths: answer.Deaths, Hosts: len(e.ranked),
		Coordinator: e.keeperAddress()})
}

// report asks the hosts in their rank until one answers.
func (e *exchange) report(ctx context.Context, report Report) (ReportResponse, error) {
	for _, name := range e.ranked {
		if name == e.self {
			break
		}
		if time.Now().Before(e.silent[name]) {
			continue
		}
		answer := ReportResponse{}
		err := e.call(ctx, e.addresses[name], &report, &answer)
		if err == nil {
			return answer, e.reportedTo(ctx, name)
		}
		e.silent[name] = time.Now().Add(silentTime)
		e.log.Warn("host did not take the report", zap.String("peer", name), zap.String("error", err.Error()))
	}
	if err := e.reportedTo(ctx, e.self); err != nil {
		return ReportResponse{}, err
	}
	m := reported{Reply: ring.NewReply[ReportResponse](), report: report}
	if err := e.own.inbox.Put(ctx, m); err != nil {
		return ReportResponse{}, err
	}
	return m.Wait(ctx)
}

func (e *exchange) call(ctx context.Context, address string, report *Report, answer *ReportResponse) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return codec.Call(ctx, e.client, address, reportPath, report, answer)
}

// keeperAddress is where the last report went, empty for this host.
func (e *exchange) keeperAddress() string {
	if e.keeper == e.self {
		return ""
	}
	return e.addresses[e.keeper]
}

// reportedTo notes the keeper, and tells the moves if that has become this
// host, or is it no more.
func (e *exchange) reportedTo(ctx context.Context, name string) error {
	if e.keeper == name {
		return nil
	}
	e.log.Info("keeper of the ledger", zap.String("keeper", name), zap.String("before", e.keeper),
		zap.Int("hosts", len(e.ranked)))
	e.keeper = name
	return e.moves.Put(ctx, moves.CoordinatorChange{Self: name == e.self})
}
