// Package admission is the duty that lets requests in: it finds the route and
// the client account, holds the account's limit, and grants repeats.
package admission

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/decision/quota"
	owncatalog "kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/gateway/fleet"
	"kingcupcourse/internal/gateway/frontend"
	"kingcupcourse/internal/ring"
)

const (
	// ringCapacity bounds the messages that wait for the duty.
	ringCapacity = 1024
	// notReadyRetry is when a caller may come back to a host that knows no
	// configuration yet. Another host will take the request.
	notReadyRetry = 50 * time.Millisecond
	// defaultWait bounds a request whose caller and route name no time.
	defaultWait = 30 * time.Second
)

// Message is a question to the duty.
type Message interface{ handle(d *Duty, now time.Time) }

// Ticket is the permission to place a request, or its refusal.
type Ticket struct {
	Refusal *core.Refusal
	Route   *catalog.Route
	Service string
	// Account is empty on a public route.
	Account string
	// Priority is 0 for the most important requests.
	Priority int
	// Deadline is when the request must have had its final answer.
	Deadline     time.Time
	MaxBodyBytes int64
	// Coordinator is the address of the host that keeps the ledger and places the
	// fleet's requests, empty for this one.
	Coordinator string
	// Acquire is set if the keeper of the ledger must be asked whether the
	// account's limit allows the request.
	Acquire *fleet.AcquireRequest
	// CheckPoison tells that endpoints died under some request, so that the
	// duty must be asked about this one's fingerprint.
	CheckPoison bool
	// ConfigVersion is the configuration that the ticket was given under.
	ConfigVersion uint64
}

// Admit asks for a ticket.
type Admit struct {
	ring.Reply[Ticket]
	Request  *frontend.Request
	Received time.Time
}

// Ready asks whether the host can serve.
type Ready struct{ ring.Reply[bool] }

// Config tells the duty how much it may let in.
type Config struct {
	Snapshots owncatalog.Subscription
	Tolerance fleet.Tolerance
	// RetryShare is how many repeats each request earns, RetryBurst how
	// many all hosts together may make beyond that in a window.
	RetryShare, RetryBurst float64
}

// Duty implements supervisor.Duty.
type Duty struct {
	Config
	inbox    *ring.Ring[Message]
	snapshot *catalog.Snapshot
	limits   map[string]quota.Limit
	share    *quota.Allocation
	keeper   string // the address of the keeper of the ledger
	repeats  *repeats
	marks    *poison.Tracker
	deaths   []poison.Death // not yet reported
	sent     int            // of which so many are in a report on its way
}

// New returns the duty.
func New(config Config) *Duty {
	return &Duty{
		Config: config, inbox: ring.New[Message]("gateway_admission", ringCapacity),
		snapshot: &catalog.Snapshot{}, share: quota.NewAllocation(), marks: poison.NewTracker(),
		repeats: newRepeats(config.RetryShare, config.RetryBurst),
	}
}

// Inbox is where messages for the duty are put.
func (d *Duty) Inbox() *ring.Ring[Message] { return d.inbox }

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	return ring.Loop(ctx, d.inbox, func(m Message) error {
		if snapshot, ok := d.Snapshots.TryTake(); ok {
			d.snapshot, d.limits = snapshot, fleet.Limits(snapshot.Configuration, d.Tolerance)
		}
		m.handle(d, time.Now())
		return nil
	})
}

func (m Ready) handle(d *Duty, _ time.Time) { m.Send(d.snapshot.Ready()) }

func (m Admit) handle(d *Duty, now time.Time) { m.Send(d.admit(m, now)) }

func (d *Duty) admit(m Admit, now time.Time) Ticket {
	if !d.snapshot.Ready() {
		return Ticket{Refusal: core.RefuseWithRetry(core.ReasonNotReady, "no configuration yet", notReadyRetry)}
	}
	configuration, request := d.snapshot.Configuration, m.Request
	ticket := Ticket{MaxBodyBytes: configuration.Limits.MaxBodyBytes, ConfigVersion: configuration.Version,
		Coordinator: d.keeper}
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
	ticket.Priority = route.PriorityFor(account)
	ticket.Deadline = m.Received.Add(wait(request, route))
	if most := configuration.Limits.MaxHeaderBytes; most > 0 && request.HeaderBytes > most {
		ticket.Refusal = core.Refuse(core.ReasonHeaderTooLarge, "the header is larger than allowed")
		return ticket
	}
	if ticket.Service, found = route.PickService(draw(request.ID)); !found {
		ticket.Refusal = core.RefuseWithRetry(core.ReasonNoEndpoint, "the route has no service", time.Second)
		return ticket
	}
	ticket.CheckPoison = !d.marks.Empty()
	d.charge(&ticket, account, request, now)
	if ticket.Refusal == nil {
		d.repeats.earn(ticket.Service)
	}
	return ticket
}

// charge takes the request from what the account has left.
func (d *Duty) charge(ticket *Ticket, account *catalog.Account, request *frontend.Request, now time.Time) {
	if account == nil {
		return
	}
	limit, limited := d.limits[account.Name]
	if !limited {
		return
	}
	cost := units(account, request)
	switch verdict, retry := d.share.Admit(account.Name, limit, cost, now); verdict {
	case quota.OverLimit:
		ticket.Refusal = core.RefuseWithRetry(core.ReasonRateLimited, "the account is above its limit", retry)
	case quota.AskLedger:
		ticket.Acquire = &fleet.AcquireRequest{Account: account.Name, Units: cost, Coordinator: d.keeper}
	}
}

// units is what a request counts of its account's limit.
func units(account *catalog.Account, request *frontend.Request) float64 {
	switch tokens := request.PromptTokens + request.MaxOutputTokens; {
	case !account.UnitIsToken:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(account.DefaultTokens)
}

// wait is the time to the final answer: what the caller will wait and what
// the route allows.
func wait(request *frontend.Request, route *catalog.Route) time.Duration {
	most := defaultWait
	if route.Timeout > 0 {
		most = route.Timeout
	}
	if request.Timeout > 0 {
		most = min(most, request.Timeout)
	}
	return most
}

// draw spreads requests evenly over [0, 1) by their ids, so that a request
// meets the same choice each time.
func draw(id string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}
