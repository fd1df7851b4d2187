package fleet

import (
	"context"
	"math/rand/v2"
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
	// maxReportsPerSecond bounds the reports that a coordinator receives, so
	// hosts of a large fleet report less often.
	maxReportsPerSecond = 140
	// reportTimeout bounds one report. A host that is frozen or unreachable must
	// not delay the quota grants for longer.
	reportTimeout = 150 * time.Millisecond
	// unresponsiveBackoff is how long a host that did not respond is skipped.
	unresponsiveBackoff = time.Second
	// firstElapsed is the time that the first report of a host covers. The host's next
	// report follows up to a period later, and until then the limits must last.
	firstElapsed = 500 * time.Millisecond
	// limitsKey is the key of the limits in the order of coordinators.
	limitsKey = "limits"
)

// Admission is the part of the admission duty that the usage reporter needs.
type Admission interface {
	// CollectUsage returns the usage of a shard since the last acknowledged report.
	CollectUsage(ctx context.Context, shard LimitShard) (Usage, error)
	// ApplyReport applies the result of a report.
	ApplyReport(ctx context.Context, result ReportResult) error
}

// usageReporter is the duty that reports this host's usage of a shard of the
// limits to the shard's coordinator: the first host in the shard's order that
// responds, and this host itself if no host before it does.
type usageReporter struct {
	self      string
	shard     int
	hosts     Hosts
	local     *ledger
	admission Admission
	moves     *ring.Ring[moves.Message]
	client    *http.Client
	log       *zap.Logger

	order       []fleet.Host
	retryAt     map[string]time.Time // by host, until when it is skipped
	coordinator fleet.Host
	// reportedAt is the time of the last report that was answered.
	reportedAt     time.Time
	evidenceListID string
	knownEvidence  int
}

func newUsageReporter(c Config, shard int, hosts Hosts, local *ledger, client *http.Client) *usageReporter {
	return &usageReporter{
		self: c.Host.Name, shard: shard, hosts: hosts, local: local, admission: c.Admission, moves: c.Moves.Inbox(), log: c.Log,
		client: client, retryAt: map[string]time.Time{},
	}
}

// Serve implements supervisor.Duty. The duty waits while the hosts are not known, or
// too few to have the shard. A host that took itself for the whole fleet would grant
// itself the whole of each limit.
func (r *usageReporter) Serve(ctx context.Context) error {
	for {
		hosts, changed := r.hosts.TryTake()
		if !changed && !r.hasShard() {
			var err error
			if hosts, err = r.hosts.Take(ctx); err != nil {
				return err
			}
			changed = true
		}
		if changed {
			r.setHosts(hosts)
			continue
		}
		next := time.Now().Add(r.period())
		if err := r.tick(ctx); err != nil {
			return err
		}
		if err := ring.Pause(ctx, time.Until(next)); err != nil {
			return err
		}
	}
}

// setHosts applies a list of hosts. If it leads to another division of the limits, the
// previous reports were of other accounts, and the next one covers no earlier time.
func (r *usageReporter) setHosts(hosts *fleet.Ring) {
	before := limitShards(len(r.order))
	r.order = hosts.Order(limitsKey, r.shard)
	if limitShards(len(r.order)) != before {
		r.reportedAt = time.Time{}
	}
}

// hasShard reports whether the known hosts have the shard.
func (r *usageReporter) hasShard() bool {
	return len(r.order) > 0 && r.shard < limitShards(len(r.order))
}

// period returns the time to the next report. After the first report it is drawn at
// random, so that hosts that start together do not report together.
func (r *usageReporter) period() time.Duration {
	period := reportPeriod(len(r.order))
	if r.reportedAt.IsZero() {
		return rand.N(period)
	}
	return period
}

// reportPeriod returns the time between two reports of a host.
func reportPeriod(hosts int) time.Duration {
	return max(minReportPeriod, time.Duration(hosts)*time.Second/maxReportsPerSecond)
}

// tick sends one report and passes the result to the admission duty.
func (r *usageReporter) tick(ctx context.Context) error {
	shard := LimitShard{Shard: r.shard, Shards: limitShards(len(r.order))}
	usage, err := r.admission.CollectUsage(ctx, shard)
	if err != nil {
		return err
	}
	now := time.Now()
	report := Report{Host: r.self, LimitShard: shard, Uses: usage.Uses, Elapsed: r.elapsed(now), Evidence: usage.Evidence, KnownEvidence: r.knownEvidence, EvidenceListID: r.evidenceListID}
	if report.Outcomes, err = r.takeOutcomes(ctx); err != nil {
		return err
	}
	response, err := r.report(ctx, report)
	if err != nil {
		return err
	}
	r.reportedAt = now
	r.evidenceListID, r.knownEvidence = response.EvidenceListID, response.KnownEvidence
	if err := r.applyMoves(ctx, response.Moves); err != nil {
		return err
	}
	return r.admission.ApplyReport(ctx, ReportResult{LimitShard: shard, Grants: response.Grants, Evidence: response.Evidence, EvidenceListID: response.EvidenceListID,
		Hosts: len(r.order), Coordinator: r.coordinatorAddress()})
}

// elapsed returns the time that a report covers: since the last one that was answered.
func (r *usageReporter) elapsed(now time.Time) time.Duration {
	if r.reportedAt.IsZero() {
		return min(firstElapsed, reportPeriod(len(r.order)))
	}
	return now.Sub(r.reportedAt)
}

// takeOutcomes returns the outcomes for the holder of the moves, the coordinator
// of shard 0.
func (r *usageReporter) takeOutcomes(ctx context.Context) ([]moves.Outcome, error) {
	if r.shard != 0 {
		return nil, nil
	}
	m := moves.TakeOutcomes{Reply: ring.NewReply[[]moves.Outcome]()}
	if err := r.moves.Put(ctx, m); err != nil {
		return nil, err
	}
	return m.Wait(ctx)
}

// applyMoves hands the constraints of the coordinator's moves to the moves duty.
func (r *usageReporter) applyMoves(ctx context.Context, held map[string]moves.Constraints) error {
	if r.shard != 0 || r.coordinator.Name == r.self {
		return nil
	}
	return r.moves.Put(ctx, moves.HeldElsewhere{Constraints: held})
}

// report sends a report to the hosts of the shard's order until one responds.
func (r *usageReporter) report(ctx context.Context, report Report) (ReportResponse, error) {
	for _, host := range r.order {
		if host.Name == r.self {
			break
		}
		if time.Now().Before(r.retryAt[host.Name]) {
			continue
		}
		response := ReportResponse{}
		err := r.send(ctx, host.Address, &report, &response)
		if err == nil {
			return response, r.setCoordinator(ctx, host)
		}
		r.retryAt[host.Name] = time.Now().Add(unresponsiveBackoff)
		r.log.Warn("usage report failed", zap.Int("shard", r.shard), zap.String("peer", host.Name), zap.String("error", err.Error()))
	}
	if err := r.setCoordinator(ctx, fleet.Host{Name: r.self}); err != nil {
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
	if r.coordinator.Name == r.self {
		return ""
	}
	return r.coordinator.Address
}

// setCoordinator records the coordinator. If that of shard 0 has changed, it tells
// the moves duty whether this host is it.
func (r *usageReporter) setCoordinator(ctx context.Context, host fleet.Host) error {
	if r.coordinator == host {
		return nil
	}
	r.log.Info("keeper of the ledger", zap.Int("shard", r.shard), zap.String("keeper", host.Name),
		zap.String("before", r.coordinator.Name), zap.Int("hosts", len(r.order)))
	r.coordinator = host
	if r.shard != 0 {
		return nil
	}
	return r.moves.Put(ctx, moves.CoordinatorChange{Self: host.Name == r.self})
}
