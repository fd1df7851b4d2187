package placement

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/engine"
	"kingcupcourse/internal/decision/estimate"
	"kingcupcourse/internal/decision/health"
	"kingcupcourse/internal/decision/outstanding"
	"kingcupcourse/internal/decision/placement"
	owncatalog "kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/gateway/moves"
	"kingcupcourse/internal/ring"
)

const (
	// ringCapacity bounds the messages that wait for the duty.
	ringCapacity = 2048
	// silentPeriod is how often attempts of silent hosts are looked for.
	silentPeriod = time.Second
	// maxFirstTurn bounds where a host begins among equal endpoints.
	maxFirstTurn = 1 << 16
	// waitShare is the share of its objective that a request may be expected to
	// wait at the engine. The rest is for its prompt and the error of the
	// forecast.
	waitShare = 0.6
	// leastRetry is the least time after which a refused caller may come back.
	leastRetry = 200 * time.Millisecond
	// firstPrefillRate and firstDecodeRate, in tokens a second, are the first
	// guesses of an engine's speed. They are those of a fast engine, so that a
	// new one is tried.
	firstPrefillRate = 150_000
	firstDecodeRate  = 400
)

// Duty implements supervisor.Duty.
type Duty struct {
	host   core.Host
	inbox  *ring.Ring[Message]
	views  owncatalog.Subscription
	model  *placement.Policy
	plain  *placement.Policy
	book   *outstanding.Tracker
	speeds *estimate.Speeds

	endpoints map[string]*endpoint
	services  map[string][]*endpoint
	// eventTokens is how many tokens an event of a service's streams holds.
	eventTokens map[string]int
	moving      *moving
	asks        map[string]Request // of the attempts that are counted
	next        time.Time
	scratch     []engine.Job // reused
}

// endpoint is what the duty knows of one endpoint.
type endpoint struct {
	catalog.Endpoint
	health health.Endpoint
}

// New returns the duty of a host.
//
// Stages tells how far moves of services are, and outcomes takes what their
// requests show.
func New(host core.Host, views owncatalog.Subscription, stages *ring.Latest[map[string]moves.Stage],
	outcomes *ring.Ring[moves.Message]) *Duty {
	policy := func(scorer placement.Scorer) *placement.Policy {
		return &placement.Policy{
			Filters: []placement.Filter{placement.NotLeaving{}, placement.NotExcluded{}, placement.Ready{},
				placement.VersionInForce{}, placement.BelowVersionShare{}},
			Scorer: scorer,
			Picker: &placement.RotatingLowestScore{Offset: int(xxhash.Sum64String(host.Name) % maxFirstTurn)},
		}
	}
	return &Duty{
		host: host, inbox: ring.New[Message]("gateway_placement", ringCapacity), views: views,
		model: policy(placement.FirstToken{}), plain: policy(placement.LeastBusy{}),
		book: outstanding.NewTracker(), speeds: estimate.NewSpeeds(),
		endpoints: map[string]*endpoint{}, services: map[string][]*endpoint{}, asks: map[string]Request{},
		eventTokens: map[string]int{}, moving: newMoving(stages, outcomes),
	}
}

// Inbox is where messages for the duty are put.
func (d *Duty) Inbox() *ring.Ring[Message] { return d.inbox }

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, d.inbox, func(m Message) error {
		if snapshot, ok := d.views.TryTake(); ok {
			d.refresh(snapshot)
		}
		d.moving.refresh()
		m.handle(d, time.Now())
		return nil
	}, func() time.Time { return d.next }, d.tick)
}

// tick drops the attempts of hosts that have not been heard.
func (d *Duty) tick() error {
	now := time.Now()
	d.next = now.Add(silentPeriod)
	d.book.ApplyHostReport(d.host.Name, nil, false, now)
	for _, attempt := range d.book.ExpireSilentHosts(now) {
		delete(d.asks, attempt.ID)
	}
	return nil
}

// refresh takes over the list of endpoints.
func (d *Duty) refresh(snapshot *catalog.Snapshot) {
	if snapshot.Configuration != nil {
		for name, service := range snapshot.Configuration.Services {
			if service.Model != nil {
				d.eventTokens[name] = service.Model.EventTokens
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
		listed.PrefillRate, listed.DecodeRate = firstPrefillRate, firstDecodeRate
		e.Endpoint = listed
		d.endpoints[listed.Name] = e
		d.services[listed.Service] = append(d.services[listed.Service], e)
	}
}

func (m Choose) handle(d *Duty, now time.Time) { m.Send(d.choose(m.Request, now)) }

// choose picks an endpoint and counts the attempt on it.
func (d *Duty) choose(ask Request, now time.Time) Choice {
	candidates := d.candidates(ask, now)
	request := &core.Request{Exclude: ask.Exclude, Deadline: now.Add(time.Duration(ask.RemainingMS) * time.Millisecond)}
	policy := d.plain
	if ask.PromptTokens > 0 {
		policy = d.model
	}
	decision := policy.Place(candidates, &placement.Query{Request: request, Now: now})
	if decision.Chosen == nil {
		return Choice{BlockedReason: policy.TopRejectingFilter(decision)}
	}
	c := decision.Chosen
	first := c.PendingPrefill + c.Prefill
	if late, over := overload(ask, c); over {
		return Choice{BlockedReason: "overload", Overload: true, RetryAfterMS: late.Milliseconds(), Running: c.Running,
			ExpectedMS: inMilliseconds(first)}
	}
	d.add(ask, c, now)
	if ask.PromptTokens == 0 {
		first = c.TimeToFinish()
	}
	return Choice{Endpoint: c.Endpoint.Name, Running: c.Running, ExpectedMS: inMilliseconds(first)}
}

func inMilliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// overload tells whether a request for a model would wait too long for its
// first token, and by how much.
func overload(ask Request, c *placement.Candidate) (late time.Duration, over bool) {
	if ask.PromptTokens == 0 || ask.ObjectiveMS == 0 {
		return 0, false
	}
	objective := time.Duration(ask.ObjectiveMS) * time.Millisecond
	limit := time.Duration(waitShare * float64(objective))
	return max(leastRetry, c.PendingPrefill-limit), c.PendingPrefill > limit
}

// add counts an attempt on a candidate.
func (d *Duty) add(ask Request, c *placement.Candidate, now time.Time) {
	ahead := 0
	if c.Prefill > 0 {
		ahead = int(float64(ask.PromptTokens) * float64(c.PendingPrefill) / float64(c.Prefill))
	}
	d.asks[ask.Attempt] = ask
	d.moving.placed(ask.Service, c.Version)
	d.book.Add(&outstanding.Attempt{
		ID: ask.Attempt, Host: ask.Host, Endpoint: c.Endpoint.Name, Version: c.Version,
		PrefillTokens: ask.PromptTokens, PrefillTokensAhead: ahead, ExpectedOutputTokens: ask.OutputTokens,
		GrantedAt: now, ExpectedFirstToken: now.Add(c.PendingPrefill + c.Prefill), RunningAtPlacement: c.Running,
	}, now)
}

func (m Confirm) handle(d *Duty, now time.Time) {
	e := d.endpoints[m.Endpoint]
	if e == nil || e.Draining || e.Service != m.Request.Service {
		m.Send(Confirmed{})
		return
	}
	if d.book.Get(m.Request.Attempt) == nil { // not counted by this host's own choice
		c := placement.Candidate{Endpoint: e.Endpoint.Endpoint, Version: e.Version}
		d.count(&c, e, m.Request, now)
		d.add(m.Request, &c, now)
	}
	m.Send(Confirmed{Endpoint: e.Endpoint, OK: true})
}

func (m ListRunning) handle(d *Duty, _ time.Time) {
	var running []Running
	for id, ask := range d.asks {
		if a := d.book.Get(id); a != nil && a.Host == d.host.Name {
			running = append(running, Running{Request: ask, Endpoint: a.Endpoint, Started: a.OutputReceived > 0})
		}
	}
	m.Send(running)
}
