package placement

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/engine"
	"kingcupcourse/internal/decision/estimate"
	"kingcupcourse/internal/decision/evacuation"
	"kingcupcourse/internal/decision/fleet"
	"kingcupcourse/internal/decision/health"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/overload"
	"kingcupcourse/internal/decision/placement"
	"kingcupcourse/internal/decision/residency"
	"kingcupcourse/internal/decision/withdrawal"
	gatewaycatalog "kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/gateway/moves"
	"kingcupcourse/internal/ring"
)

const (
	// inboxCapacity bounds the queued messages.
	inboxCapacity = 2048
	// expiryPeriod is the interval at which attempts of silent hosts are dropped.
	expiryPeriod = time.Second
	// maxInitialOffset bounds the initial position of a host's rotation among equal
	// endpoints.
	maxInitialOffset = 1 << 16
	// initialPrefillRate and initialDecodeRate, in tokens per second, are the
	// initial estimates of an engine's speed. They are those of a fast engine, so
	// that a new engine is tried.
	initialPrefillRate = 150_000
	initialDecodeRate  = 400
)

// Duty implements supervisor.Duty.
type Duty struct {
	host        core.Host
	inbox       *ring.Ring[Message]
	snapshots   gatewaycatalog.Subscription
	hosts       *ring.Latest[*fleet.Ring]
	modelPolicy *placement.Policy
	plainPolicy *placement.Policy
	attempts    *outstanding.Tracker
	speeds      *estimate.Speeds

	endpoints map[string]*endpoint
	services  map[string][]*endpoint
	// tokensPerEvent is the number of tokens per stream event, by service.
	tokensPerEvent map[string]int
	traffic        *trafficLimits
	requests       map[string]Request // of the counted attempts, by attempt
	nextExpiry     time.Time
	directory      *directory
	outgoing       outgoing
	// jobBuffer and candidateBuffer are reused.
	jobBuffer       []engine.Job
	candidateBuffer []placement.Candidate
	load            load
	withdrawals     *withdrawal.Tracker
	overload        overload.Policy
	warmup          *warmupGate
	shares          *accountShares
	headerLoggedAt  time.Time
	evacuations     evacuation.Tracker
	zones           residency.Zones
	log             *zap.Logger
}

// endpoint is the state of one endpoint.
type endpoint struct {
	catalog.Endpoint
	health health.Endpoint
}

// Config holds the dependencies of the duty.
type Config struct {
	Host      core.Host
	Snapshots gatewaycatalog.Subscription
	// Hosts holds the hosts of the fleet.
	Hosts *ring.Latest[*fleet.Ring]
	// ListedHosts holds them only once the list of the store has been read.
	ListedHosts *ring.Latest[*fleet.Ring]
	// ColdTolerance is the operator's tolerance for requests to cold endpoints.
	ColdTolerance ColdTolerance
	// Constraints holds the placement constraints of the services that are being
	// moved. Outcomes takes the outcomes of these services' attempts.
	Constraints moves.Subscription
	Outcomes    *ring.Ring[moves.Message]
	// Overload bounds the predicted wait of requests by tier.
	Overload overload.Policy
	// AccountShares lets accounts that use more than their share wait shorter.
	AccountShares bool
	// Zones holds the region of each availability zone.
	Zones residency.Zones
	// ZoneAware divides endpoints by zone and sends requests to other zones only
	// if that pays.
	ZoneAware bool
	Log       *zap.Logger
}

// New returns the duty of a host.
func New(c Config) *Duty {
	policy := func(scorer placement.Scorer) *placement.Policy {
		return &placement.Policy{
			Filters: []placement.Filter{placement.NotDraining{}, placement.NotExcluded{}, placement.NotEvacuated{}, placement.RegionAllowed{}, placement.Ready{},
				placement.VersionInForce{}, placement.BelowVersionShare{}, placement.BelowColdRate{}},
			Scorer: scorer,
			Picker: &placement.RotatingLowestScore{Offset: int(xxhash.Sum64String(c.Host.Name) % maxInitialOffset)},
		}
	}
	return &Duty{
		host: c.Host, inbox: ring.New[Message]("gateway_placement", inboxCapacity), snapshots: c.Snapshots, hosts: c.Hosts,
		modelPolicy: policy(placement.FirstToken{}), plainPolicy: policy(placement.LeastBusy{}),
		attempts: outstanding.NewTracker(), speeds: estimate.NewSpeeds(),
		endpoints: map[string]*endpoint{}, services: map[string][]*endpoint{}, requests: map[string]Request{},
		tokensPerEvent: map[string]int{}, traffic: newTrafficLimits(c.Constraints, c.Outcomes),
		directory: newDirectory(c.Host, c.ZoneAware), outgoing: outgoing{}, withdrawals: withdrawal.New(), overload: c.Overload,
		shares: newAccountShares(c.AccountShares), zones: c.Zones, warmup: newWarmupGate(c.ColdTolerance, c.ListedHosts, c.Log), log: c.Log,
	}
}

// Inbox returns the ring of messages to the duty.
func (d *Duty) Inbox() *ring.Ring[Message] { return d.inbox }

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	d.nextExpiry = time.Now().Add(expiryPeriod)
	return ring.LoopUntil(ctx, d.inbox, func(m Message) error {
		d.takeSnapshot()
		if hosts, ok := d.hosts.TryTake(); ok {
			d.directory.setHosts(hosts, d.services)
			d.updateOwners(time.Now())
		}
		d.traffic.refresh()
		began := time.Now()
		m.handle(d, began)
		d.load.busy += time.Since(began)
		return nil
	}, func() time.Time { return d.nextExpiry }, d.expireAttempts)
}

func (d *Duty) takeSnapshot() {
	if snapshot, ok := d.snapshots.TryTake(); ok {
		d.updateEndpoints(snapshot)
	}
}

// expireAttempts drops the attempts of hosts that have stopped reporting.
func (d *Duty) expireAttempts() error {
	now := time.Now()
	d.nextExpiry = now.Add(expiryPeriod)
	d.takeSnapshot()
	d.logLoad()
	d.reportEvacuations(now)
	d.updateOwners(now)
	d.warmup.report(now)
	d.attempts.ApplyHostReport(d.host.Name, nil, false, now)
	for _, attempt := range d.attempts.ExpireSilentHosts(now) {
		delete(d.requests, attempt.ID)
	}
	return nil
}

// updateEndpoints applies the snapshot's endpoints. An endpoint that restarted
// or has a new address loses its health history.
func (d *Duty) updateEndpoints(snapshot *catalog.Snapshot) {
	if snapshot.Configuration != nil {
		for name, service := range snapshot.Configuration.Services {
			if service.Model != nil {
				d.tokensPerEvent[name] = service.Model.EventTokens
			}
		}
	}
	known := d.endpoints
	d.endpoints, d.services = map[string]*endpoint{}, map[string][]*endpoint{}
	for _, listed := range snapshot.Endpoints {
		e := known[listed.Name]
		if e == nil || !e.StartedAt.Equal(listed.StartedAt) || e.Address != listed.Address {
			e = &endpoint{}
		}
		listed.PrefillRate, listed.DecodeRate = initialPrefillRate, initialDecodeRate
		e.Endpoint = listed
		d.endpoints[listed.Name] = e
		d.services[listed.Service] = append(d.services[listed.Service], e)
	}
	d.directory.setEndpoints(d.services)
	d.updateEvacuations(snapshot.Evacuations, time.Now())
	d.warmup.setEntries(snapshot, time.Now())
	d.updateOwners(time.Now())
}

func (m Choose) handle(d *Duty, now time.Time) {
	if !m.received.IsZero() {
		d.load.requests++
		d.load.longestWait = max(d.load.longestWait, now.Sub(m.received))
	}
	choice := d.choose(m.Request, now)
	choice.Rooms = d.roomsFor(m.Request, now)
	m.Send(choice)
}

// choose selects an endpoint and counts the attempt on it.
func (d *Duty) choose(req Request, now time.Time) Choice {
	req.waitPart = d.waitPart(req, now)
	candidates := d.candidates(req, now)
	d.recordRoom(req, candidates, now)
	request := &core.Request{Exclude: req.Exclude, Deadline: now.Add(time.Duration(req.RemainingMS) * time.Millisecond)}
	policy := d.plainPolicy
	if req.PromptTokens > 0 {
		policy = d.modelPolicy
	}
	query := &placement.Query{Request: request, Now: now}
	decision := policy.Place(d.withoutOverload(req, candidates), query)
	if decision.Chosen == nil {
		decision = policy.Place(candidates, query)
	}
	if decision.Chosen == nil {
		return Choice{BlockedReason: policy.TopRejectingFilter(decision)}
	}
	c := decision.Chosen
	firstToken := c.PendingPrefill + c.FirstToken
	if d.overloaded(req, c) {
		retryAfter := d.overload.RetryAfter(req.demand(), c.PendingPrefill)
		reason := blockedByOverload
		if req.waitPart = 1; !d.overloaded(req, c) {
			reason = blockedByShare
			refusedAboveShare.Inc()
		}
		return Choice{BlockedReason: reason, Overload: true, RetryAfterMS: retryAfter.Milliseconds(), Running: c.Running,
			ExpectedMS: toMilliseconds(firstToken)}
	}
	d.countAttempt(req, c, now)
	if req.PromptTokens == 0 {
		firstToken = c.TimeToFinish()
	}
	coldGrant := d.warmup.grant(c.Endpoint.Name, now)
	return Choice{Endpoint: c.Endpoint.Name, Running: c.Running, ExpectedMS: toMilliseconds(firstToken), ColdGrant: coldGrant}
}

// withoutOverload returns the candidates at which the request would not wait too
// long for its first token. The choice is made among them first: a long prompt
// prefers a fast engine with a long queue to a slow one that is idle.
func (d *Duty) withoutOverload(req Request, candidates []placement.Candidate) []placement.Candidate {
	d.candidateBuffer = d.candidateBuffer[:0]
	for i := range candidates {
		if !d.overloaded(req, &candidates[i]) {
			d.candidateBuffer = append(d.candidateBuffer, candidates[i])
		}
	}
	return d.candidateBuffer
}

func toMilliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// overloaded reports whether a request to a model would wait too long for its
// first token.
func (d *Duty) overloaded(req Request, c *placement.Candidate) bool {
	return req.PromptTokens > 0 && d.overload.Refuses(req.demand(), c.PendingPrefill)
}

// demand returns what the overload policy needs to know of the request.
func (r *Request) demand() overload.Request {
	return overload.Request{Tier: r.Tier, Objective: time.Duration(r.ObjectiveMS) * time.Millisecond, WaitPart: r.waitPart}
}

// maxWait returns how long a request may be predicted to wait at an endpoint, zero
// if there is no limit. Plain services refuse nothing for it, but it says when
// another shard serves the request better.
func (d *Duty) maxWait(req Request) time.Duration {
	limit, bounded := d.overload.MaxWait(req.demand())
	if !bounded {
		return 0
	}
	return limit
}

// countAttempt counts an attempt on a candidate.
func (d *Duty) countAttempt(req Request, c *placement.Candidate, now time.Time) {
	ahead := 0
	if c.Prefill > 0 {
		ahead = int(float64(req.PromptTokens) * float64(c.PendingPrefill) / float64(c.Prefill))
	}
	d.requests[req.Attempt] = req
	d.traffic.recordPlaced(req.Service, c.Version)
	d.attempts.Add(&outstanding.Attempt{
		ID: req.Attempt, Host: req.Host, Endpoint: c.Endpoint.Name, Version: c.Version,
		PrefillTokens: req.PromptTokens, PrefillTokensAhead: ahead, ExpectedOutputTokens: req.OutputTokens,
		GrantedAt: now, ExpectedFirstToken: now.Add(c.PendingPrefill + c.FirstToken), RunningAtPlacement: c.Running,
	}, now)
}

func (m Confirm) handle(d *Duty, now time.Time) {
	e := d.endpoints[m.Endpoint]
	if e == nil || d.isDraining(e) || !d.isOpen(e, m.Request) || e.Service != m.Request.Service ||
		d.withdrawals.RestLeft(incarnation(e.Endpoint), now) > 0 || d.warmup.refuses(e.Endpoint.Name, m.ColdGrant, now) {
		m.Send(Confirmed{})
		return
	}
	if d.attempts.Get(m.Request.Attempt) == nil { // not counted yet by a choice of this host
		c := placement.Candidate{Endpoint: e.Endpoint.Endpoint, Version: e.Version}
		d.predictTimes(&c, e, m.Request, now)
		d.countAttempt(m.Request, &c, now)
	}
	m.Send(Confirmed{Endpoint: e.Endpoint, OK: true})
}
