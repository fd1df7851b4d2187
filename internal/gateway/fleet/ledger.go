package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/decision/quota"
	"kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/gateway/moves"
	"kingcupcourse/internal/ring"
)

const (
	// inboxCapacity bounds the queued reports. Each host has at most one in
	// flight.
	inboxCapacity = 256
	// maxListedEvidence bounds the list of evidence about requests.
	maxListedEvidence = 1024
	// maxLedgerIdleTime is how long a ledger is kept that no host uses. Hosts change
	// the division when the fleet grows or shrinks.
	maxLedgerIdleTime = time.Minute
)

var (
	// errHostsUnknown is the error of a ledger that does not know yet between which
	// hosts it divides the limits.
	errHostsUnknown = eris.New("the hosts of the fleet are not known yet")
	// errLimitUnknown is the error of a ledger that is asked about an account that its
	// host does not know, by a host that does not send the limit.
	errLimitUnknown = eris.New("the account's limit is not known")
	// errNoSuchShard is the error of a message about a shard that no division has.
	errNoSuchShard = eris.New("no such shard of the limits")
)

// ledger is the duty that accounts for the limits across all hosts that report
// to this one.
type ledger struct {
	inbox       *ring.Ring[Message]
	snapshots   catalog.Subscription
	hosts       Hosts
	constraints moves.Subscription
	moves       *ring.Ring[moves.Message]

	tolerance Tolerance

	// shards holds the ledgers of the shards that hosts have reported to this host,
	// also by divisions that this host does not use itself. limits and names are what
	// they are made from.
	shards    map[LimitShard]*shardLedger
	limits    accountLimits
	names     []string
	heldMoves map[string]moves.Constraints
	// listID identifies the list of evidence of this run of the process. evidence holds
	// the newest entries of the list, droppedEvidence counts the dropped ones.
	listID          string
	evidence        []poison.Dated
	droppedEvidence int
}

func newLedger(c Config, hosts Hosts) *ledger {
	return &ledger{
		inbox: ring.New[Message]("fleet_ledger", inboxCapacity), snapshots: c.Snapshots, tolerance: c.Tolerance,
		hosts: hosts, constraints: c.Moves.Subscribe(), moves: c.Moves.Inbox(),
		shards: map[LimitShard]*shardLedger{}, listID: uuid.NewString(),
	}
}

// Serve implements supervisor.Duty.
func (l *ledger) Serve(ctx context.Context) error { return ring.Loop(ctx, l.inbox, l.process) }

func (l *ledger) process(m Message) error {
	snapshot, changedLimits := l.snapshots.TryTake()
	if changedLimits {
		l.limits.replace(snapshot.Configuration, l.tolerance)
	}
	hosts, changedHosts := l.hosts.TryTake()
	if changedHosts {
		l.names = hosts.Names()
	}
	if changedLimits || changedHosts {
		for shard, quotas := range l.shards {
			l.configure(shard, quotas)
		}
	}
	if constraints, ok := l.constraints.TryTake(); ok {
		l.heldMoves = constraints
	}
	m.handle(l, time.Now())
	return nil
}

// shardLedger is the ledger of one shard.
type shardLedger struct {
	*quota.Ledger
	// usedAt is the time of the last message about the shard.
	usedAt time.Time
}

// configure applies the hosts, and the limits of the shard's accounts. The accounts
// follow from the division of the hosts that use the ledger. If they followed from the
// list of this host, an account of hosts with another list could have two ledgers that
// both earn the time of the same host.
func (l *ledger) configure(shard LimitShard, quotas *shardLedger) {
	limits := map[string]quota.Limit{}
	for account, limit := range l.limits.all() {
		if shard.Holds(account) {
			limits[account] = limit
		}
	}
	quotas.SetLimits(limits)
	quotas.SetHosts(l.names)
}

// shard returns the ledger of a shard. It fails if the hosts of the fleet are not
// known yet, or if there is no such shard.
func (l *ledger) shard(shard LimitShard, now time.Time) (*shardLedger, error) {
	if len(l.names) == 0 {
		return nil, errHostsUnknown
	}
	if shard.Shards == 0 { // from a host of a release without divisions
		shard.Shards = limitShards(len(l.names))
	}
	if !shard.valid() {
		return nil, eris.Wrapf(errNoSuchShard, "shard %d of %d", shard.Shard, shard.Shards)
	}
	quotas := l.shards[shard]
	if quotas == nil {
		maps.DeleteFunc(l.shards, func(_ LimitShard, other *shardLedger) bool { return now.Sub(other.usedAt) > maxLedgerIdleTime })
		quotas = &shardLedger{Ledger: quota.NewLedger()}
		l.shards[shard] = quotas
		l.configure(shard, quotas)
	}
	quotas.usedAt = now
	return quotas, nil
}

// learn takes the limit of a request's account over if the sender's configuration is
// newer, or if this host does not know the account: a ledger without the limit would
// allow everything. It returns false if the limit is unknown.
func (l *ledger) learn(request AcquireRequest) bool {
	learned, known := l.limits.learn(request.Account, request.Limit, request.ConfigVersion)
	if learned {
		for shard, quotas := range l.shards {
			if shard.Holds(request.Account) {
				quotas.SetLimit(request.Account, request.Limit)
			}
		}
	}
	return known
}

func (m acquireMessage) handle(l *ledger, now time.Time) {
	quotas, err := l.shard(m.request.LimitShard, now)
	if err != nil {
		m.Abandon(err)
		return
	}
	if !l.learn(m.request) {
		m.Abandon(errLimitUnknown)
		return
	}
	allowed, retryAfter := quotas.Acquire(m.request.Account, m.request.Units)
	m.Send(AcquireResponse{Allowed: allowed, RetryAfterMS: retryAfter.Milliseconds()})
}

func (m reportMessage) handle(l *ledger, now time.Time) {
	quotas, err := l.shard(m.report.LimitShard, now)
	if err != nil {
		m.Abandon(err)
		return
	}
	response := ReportResponse{Grants: quotas.Report(m.report.Host, m.report.Elapsed, m.report.Uses, now)}
	if m.report.Shard == 0 {
		l.exchangeEvidence(m.report, &response, now)
		l.forwardOutcomes(m.report.Outcomes)
		response.Moves = l.heldMoves
	}
	m.Send(response)
}

// exchangeEvidence adds the reported evidence to the list, and the evidence that the
// host does not know to the response.
func (l *ledger) exchangeEvidence(report Report, response *ReportResponse, now time.Time) {
	l.addEvidence(report.Evidence, now)
	response.EvidenceListID, response.KnownEvidence = l.listID, l.droppedEvidence+len(l.evidence)
	known := 0
	if report.EvidenceListID == l.listID {
		known = max(0, report.KnownEvidence-l.droppedEvidence)
	}
	if known < len(l.evidence) {
		response.Evidence = poison.AllAged(l.evidence[known:], now)
	}
}

// forwardOutcomes hands outcomes to the moves duty. An outcome that finds the
// ring full is lost as evidence; the ring's metrics count it.
func (l *ledger) forwardOutcomes(outcomes []moves.Outcome) {
	for _, outcome := range outcomes {
		_ = l.moves.TryPut(outcome)
	}
}

// addEvidence adds evidence to the list. Several hosts may report the same death after
// the list has moved here.
func (l *ledger) addEvidence(reported []poison.Evidence, now time.Time) {
	for _, e := range reported {
		isKnown := func(known poison.Dated) bool { return e.Equal(known.Evidence) }
		if e.Endpoint == "" || !slices.ContainsFunc(l.evidence, isKnown) {
			l.evidence = append(l.evidence, poison.Dated{Evidence: e, Got: now})
		}
	}
	if excess := len(l.evidence) - maxListedEvidence; excess > 0 {
		l.evidence, l.droppedEvidence = append([]poison.Dated(nil), l.evidence[excess:]...), l.droppedEvidence+excess
	}
}
