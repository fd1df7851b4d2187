// Package admission implements the duty that admits requests: it resolves the
// route and the client account, enforces the account's rate limit, and grants
// retries.
package admission

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/decision/quota"
	gatewaycatalog "kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/gateway/fleet"
	"kingcupcourse/internal/gateway/frontend"
	"kingcupcourse/internal/gateway/refusals"
	"kingcupcourse/internal/ring"
)

const (
	// inboxCapacity bounds the queued messages.
	inboxCapacity = 1024
	// notReadyRetryAfter is the retry delay while this host has no configuration
	// yet. It is short because another host can serve the retry.
	notReadyRetryAfter = 50 * time.Millisecond
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
)

// Message is a message to the duty.
type Message interface{ handle(d *Duty, now time.Time) }

// Ticket is the admission decision for a request: a permission to place it, or
// a refusal.
type Ticket struct {
	Refusal *core.Refusal
	Route   *catalog.Route
	Service string
	// Account is empty on a public route.
	Account string
	// Priority is 0 for the most important requests.
	Priority int
	// Tier orders the requests while there is too little room for all; 0 is the
	// most important.
	Tier int
	// Deadline is when the request must have got its final response.
	Deadline     time.Time
	MaxBodyBytes int64
	// Acquire is set if the coordinator must be asked whether the account's limit
	// allows the request.
	Acquire *fleet.AcquireRequest
	// AccountWeight is the rate of the account's limit, zero if it has none.
	AccountWeight float64
	// Units is the request's cost against its account's limit, zero if the account
	// has none.
	Units float64
	// AllowedRegions are the only regions in which the request may be processed;
	// empty for all.
	AllowedRegions []core.Region
	// ConfigVersion is the version of the configuration that the decision is
	// based on.
	ConfigVersion uint64
}

// Admit requests a ticket.
type Admit struct {
	ring.Reply[Ticket]
	Request  *frontend.Request
	Received time.Time
}

// Ready asks whether the host can serve requests.
type Ready struct{ ring.Reply[bool] }

// Config configures the duty.
type Config struct {
	Snapshots gatewaycatalog.Subscription
	Tolerance fleet.Tolerance
	// RetryShare is the number of retries that each request earns. RetryBurst is
	// the number of retries that all hosts together may make beyond that in a
	// window.
	RetryShare, RetryBurst float64
	// RefusalWrites takes the refusals that the store is to hold.
	RefusalWrites *ring.Latest[refusals.Stored]
	Log           *zap.Logger
}

// Duty implements supervisor.Duty.
type Duty struct {
	Config
	inbox        *ring.Ring[Message]
	snapshot     *catalog.Snapshot
	limits       map[string]quota.Limit
	share        *quota.Allocation
	coordinators coordinators
	waiting      waitingRequests
	retries      *retryBudgets
	poisonMarks  *poison.Register
	stored       storedRefusals
	// hasSuspects reports that endpoints have died while they ran requests.
	hasSuspects        atomic.Bool
	unreportedEvidence []poison.Dated
	evidenceInReport   int // how many of them are in the report in progress
	// evidenceListID identifies the list that the last evidence of other hosts is from.
	evidenceListID string
}

// New returns the duty.
func New(config Config) *Duty {
	return &Duty{
		Config: config, inbox: ring.New[Message]("gateway_admission", inboxCapacity),
		snapshot: &catalog.Snapshot{}, share: quota.NewAllocation(), poisonMarks: poison.NewRegister(),
		retries: newRetryBudgets(config.RetryShare, config.RetryBurst),
	}
}

// HasSuspects reports whether endpoints have died while they ran requests, so that each
// request must be checked. It may be called by any duty.
func (d *Duty) HasSuspects() bool { return d.hasSuspects.Load() }

// Inbox returns the ring of messages to the duty.
func (d *Duty) Inbox() *ring.Ring[Message] { return d.inbox }

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	d.waiting.startedAt = time.Now()
	return ring.LoopUntil(ctx, d.inbox, func(m Message) error {
		d.takeSnapshot()
		m.handle(d, time.Now())
		d.hasSuspects.Store(!d.poisonMarks.Empty())
		return nil
	}, d.waiting.next, func() error {
		d.takeSnapshot()
		d.releaseWaiting(time.Now())
		return nil
	})
}

func (d *Duty) takeSnapshot() {
	if snapshot, ok := d.Snapshots.TryTake(); ok {
		d.snapshot, d.limits = snapshot, fleet.Limits(snapshot.Configuration, d.Tolerance)
	}
}

// releaseWaiting decides about the waiting requests again.
func (d *Duty) releaseWaiting(now time.Time) {
	for _, m := range d.waiting.take() {
		m.handle(d, now)
	}
}

// The number of shards is known with the first answered report of usage.
func (m Ready) handle(d *Duty, _ time.Time) { m.Send(d.hasState() && d.coordinators.known()) }

// hasState reports whether the duty knows what it decides by.
func (d *Duty) hasState() bool { return d.snapshot.Ready() && d.stored.known }

func (m Admit) handle(d *Duty, now time.Time) {
	ticket := d.admit(m, now)
	if ticket.Refusal != nil && ticket.Refusal.Reason == core.ReasonNotReady && d.waiting.add(m, now) {
		return
	}
	m.Send(ticket)
}

func (d *Duty) admit(m Admit, now time.Time) Ticket {
	if !d.hasState() {
		return Ticket{Refusal: core.RefuseWithRetry(core.ReasonNotReady, "no configuration yet", notReadyRetryAfter)}
	}
	configuration, request := d.snapshot.Configuration, m.Request
	ticket := Ticket{MaxBodyBytes: configuration.Limits.MaxBodyBytes, ConfigVersion: configuration.Version}
	route, found := configuration.MatchRoute(request.Authority, request.Path)
	if !found {
		ticket.Refusal = core.Refuse(core.ReasonUnknownRoute, "no route takes this path")
		return ticket
	}
	ticket.Route = route
	var account *catalog.Account
	if !route.Public && len(configuration.Accounts) > 0 {
		if account, found = configuration.AccountByKey(request.Key); !found {
			ticket.Refusal = core.Refuse(core.ReasonUnauthenticated, "the key is missing or unknown")
			return ticket
		}
		ticket.Account = account.Name
	}
	ticket.Priority, ticket.Tier = route.PriorityFor(account), configuration.Tier(route, account)
	ticket.Deadline = m.Received.Add(requestTimeout(request, route))
	if limit := configuration.Limits.MaxHeaderBytes; limit > 0 && request.HeaderBytes > limit {
		ticket.Refusal = core.Refuse(core.ReasonHeaderTooLarge, "the header is larger than allowed")
		return ticket
	}
	if ticket.restrict(account); ticket.Refusal != nil {
		return ticket
	}
	if ticket.Service, found = route.PickService(hashFraction(request.ID)); !found {
		ticket.Refusal = core.RefuseWithRetry(core.ReasonNoEndpoint, "the route has no service", time.Second)
		return ticket
	}
	d.charge(&ticket, account, request, now)
	if ticket.Refusal == nil {
		d.retries.earn(ticket.Service)
	}
	return ticket
}

// charge charges the request against the account's rate limit.
func (d *Duty) charge(ticket *Ticket, account *catalog.Account, request *frontend.Request, now time.Time) {
	if account == nil {
		return
	}
	limit, limited := d.limits[account.Name]
	if !limited {
		return
	}
	shard, coordinator, known := d.coordinators.of(account.Name)
	if !known {
		ticket.Refusal = core.RefuseWithRetry(core.ReasonNotReady, "the coordinator of the account's limit is not known yet", notReadyRetryAfter)
		return
	}
	cost := quotaUnits(account, request)
	ticket.Units, ticket.AccountWeight = cost, limit.Rate
	switch decision, retryAfter := d.share.Admit(account.Name, limit, cost, now); decision {
	case quota.OverLimit:
		ticket.Refusal = core.RefuseWithRetry(core.ReasonRateLimited, "the account is above its limit", retryAfter)
	case quota.AskCoordinator:
		ticket.Acquire = &fleet.AcquireRequest{LimitShard: shard, Account: account.Name, Units: cost, Limit: limit,
			ConfigVersion: ticket.ConfigVersion, Coordinator: coordinator}
	}
}

// quotaUnits returns the units that a request consumes of its account's limit.
func quotaUnits(account *catalog.Account, request *frontend.Request) float64 {
	switch tokens := request.PromptTokens + request.MaxOutputTokens; {
	case !account.UnitIsToken:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(account.DefaultTokens)
}

// requestTimeout returns the time allowed until the final response: the smaller
// of the caller's and the route's timeout.
func requestTimeout(request *frontend.Request, route *catalog.Route) time.Duration {
	limit := defaultTimeout
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	if request.Timeout > 0 {
		limit = min(limit, request.Timeout)
	}
	return limit
}

// hashFraction maps request ids evenly onto [0, 1), so that a resent request
// gets the same choice each time.
func hashFraction(id string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}
