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
	// minReportPeriod is the report interval in a small fleet. It is short
	// compared with the window of a limit, eight seconds.
	minReportPeriod = 150 * time.Millisecond
	// maxReportsPerSecond bounds the reports that the coordinator receives, so
	// hosts of a large fleet report less often.
	maxReportsPerSecond = 140
	// reportTimeout bounds one report. A host that is frozen or unreachable must
	// not delay the quota grants for longer.
	reportTimeout = 150 * time.Millisecond
	// unresponsiveBackoff is how long a host that did not respond is skipped.
	unresponsiveBackoff = time.Second
	// membersCapacity bounds the queued host lists.
	membersCapacity = 16
)

// Admission is the part of the admission duty that the usage reporter needs.
type Admission interface {
	// CollectUsage returns the usage since the last acknowledged report.
	CollectUsage(ctx context.Context) (Usage, error)
	// ApplyReport applies the result of a report.
	ApplyReport(ctx context.Context, result ReportResult) error
}

// usageReporter is the duty that reports this host's usage to the coordinator:
// the first host in rank order that responds, and this host itself if no host
// ranked before it does.
type usageReporter struct {
	self      string
	members   *ring.Ring[map[string]string]
	local     *ledger
	admission Admission
	moves     *ring.Ring[moves.Message]
	client    *http.Client
	log       *zap.Logger

	addresses   map[string]string // by host
	ranked      []string
	retryAt     map[string]time.Time // by host, until when it is skipped
	nextReport  time.Time
	coordinator string
	deathListID string
	knownDeaths int
}

func newUsageReporter(c Config, local *ledger) *usageReporter {
	r := &usageReporter{
		self: c.Host.Name, local: local, admission: c.Admission, moves: c.Moves, log: c.Log,
		members: ring.New[map[string]string]("fleet_members", membersCapacity),
		client:  &http.Client{Transport: codec.NewTransport(0)},
		retryAt: map[string]time.Time{},
	}
	r.setMembers(map[string]string{r.self: ""})
	return r
}

// Serve implements supervisor.Duty.
func (r *usageReporter) Serve(ctx context.Context) error {
	r.nextReport = time.Now()
	return ring.LoopUntil(ctx, r.members, func(addresses map[string]string) error {
		r.setMembers(addresses)
		return nil
	}, func() time.Time { return r.nextReport }, func() error { return r.tick(ctx) })
}

func (r *usageReporter) setMembers(addresses map[string]string) {
	r.addresses = addresses
	r.ranked = fleet.SortByHash(addresses)
	r.local.hosts.Publish(r.ranked)
}

// tick sends one report and passes the result to the admission duty.
func (r *usageReporter) tick(ctx context.Context) error {
	period := max(minReportPeriod, time.Duration(len(r.ranked))*time.Second/maxReportsPerSecond)
	r.nextReport = time.Now().Add(period)
	usage, err := r.admission.CollectUsage(ctx)
	if err != nil {
		return err
	}
	report := Report{Host: r.self, Uses: usage.Uses, Deaths: usage.Deaths, KnownDeaths: r.knownDeaths, DeathListID: r.deathListID}
	response, err := r.report(ctx, report)
	if err != nil {
		return err
	}
	r.deathListID, r.knownDeaths = response.DeathListID, response.KnownDeaths
	return r.admission.ApplyReport(ctx, ReportResult{Grants: response.Grants, Deaths: response.Deaths, Hosts: len(r.ranked),
		Coordinator: r.coordinatorAddress()})
}

// report sends a report to the hosts in rank order until one responds.
func (r *usageReporter) report(ctx context.Context, report Report) (ReportResponse, error) {
	for _, name := range r.ranked {
		if name == r.self {
			break
		}
		if time.Now().Before(r.retryAt[name]) {
			continue
		}
		response := ReportResponse{}
		err := r.send(ctx, r.addresses[name], &report, &response)
		if err == nil {
			return response, r.setCoordinator(ctx, name)
		}
		r.retryAt[name] = time.Now().Add(unresponsiveBackoff)
		r.log.Warn("usage report failed", zap.String("peer", name), zap.String("error", err.Error()))
	}
	if err := r.setCoordinator(ctx, r.self); err != nil {
		return ReportResponse{}, err
	}
	m := reportMessage{Reply: ring.NewReply[ReportResponse](), report: report}
	if err := r.local.inbox.Put(ctx, m); err != nil {
		return ReportResponse{}, err
	}
	return m.Wait(ctx)
}

func (r *usageReporter) send(ctx context.Context, address string, report *Report, response *ReportResponse) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return codec.Call(ctx, r.client, address, reportPath, report, response)
}

// coordinatorAddress returns the address that the last report went to, empty for
// this host.
func (r *usageReporter) coordinatorAddress() string {
	if r.coordinator == r.self {
		return ""
	}
	return r.addresses[r.coordinator]
}

// setCoordinator records the coordinator. If it has changed, it tells the moves
// duty whether this host is the coordinator.
func (r *usageReporter) setCoordinator(ctx context.Context, name string) error {
	if r.coordinator == name {
		return nil
	}
	r.log.Info("keeper of the ledger", zap.String("keeper", name), zap.String("before", r.coordinator),
		zap.Int("hosts", len(r.ranked)))
	r.coordinator = name
	return r.moves.Put(ctx, moves.CoordinatorChange{Self: name == r.self})
}
