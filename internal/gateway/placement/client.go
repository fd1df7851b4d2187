package placement

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/ring"
)

// Paths that serve the placement requests and updates of other hosts.
const (
	choosePath  = "/v1/placement/choose"
	updatesPath = "/v1/placement/updates"
)

const (
	// chooseTimeout bounds a placement request to the coordinator. If it is
	// frozen or unreachable, that may delay a request only by milliseconds.
	chooseTimeout = 40 * time.Millisecond
	// maxUnanswered is how many coordinators may give neither an endpoint nor a
	// refusal before the host places a request alone.
	maxUnanswered = 2
	// noEndpointRetryAfter is the retry delay for a request without an endpoint.
	noEndpointRetryAfter = 500 * time.Millisecond
)

// Client requests endpoints from the coordinators of the service's shards, and
// from this host's own duty if none of them responds.
type Client struct {
	host string
	zone core.AvailabilityZone
	// zoneAware is the setting of the duty.
	zoneAware bool
	// timeout bounds a placement request to a coordinator.
	timeout time.Duration
	local   *ring.Ring[Message]
	client  *http.Client
	log     *zap.Logger
}

// NewClient returns a client that falls back to the host's own duty.
func NewClient(local *Duty, log *zap.Logger) *Client {
	return &Client{host: local.host.Name, zone: local.host.AvailabilityZone, zoneAware: local.directory.zoneAware, local: local.inbox, timeout: chooseTimeout,
		client: &http.Client{Transport: codec.NewTransport(0)}, log: log}
}

// Place chooses an endpoint for an attempt of this host. An update with a result
// releases the placement. A shard without room passes the request on to another
// one.
func (c *Client) Place(ctx context.Context, req Request) Placed {
	found := c.findTargets(ctx, req)
	if found.refusal != nil {
		return Placed{Refusal: found.refusal}
	}
	if found.wait > 0 {
		return Placed{Refusal: core.RefuseWithRetry(core.ReasonShed, "all endpoints want no requests for some time", found.wait)}
	}
	req.Exclude, req.EvacuatedZones = slices.Concat(req.Exclude, found.resting), found.evacuated
	var refused *Placed
	unanswered := 0
	for _, target := range found.coordinators {
		if unanswered == maxUnanswered || (target.onlyIfSilent && refused != nil) {
			break
		}
		placed, answered := c.placeAt(ctx, req, target)
		switch {
		case answered && placed.Refusal == nil:
			placed.LeftZone = c.leftZone(placed, target.causeAfter(refused != nil))
			return placed
		case answered:
			refused = &placed
		default:
			unanswered++
		}
	}
	switch {
	case refused != nil:
		return *refused
	case ctx.Err() != nil:
		return endedBeforePlacement()
	}
	return c.placeAlone(ctx, req)
}

// EndpointSaid tells this host's own duty what an endpoint says about itself.
func (c *Client) EndpointSaid(ctx context.Context, said EndpointSaid) { _ = c.local.Put(ctx, said) }

// findTargets returns the coordinators to ask, none if the request has ended.
func (c *Client) findTargets(ctx context.Context, req Request) targets {
	m := findTargets{Reply: ring.NewReply[targets](), request: req}
	if c.local.Put(ctx, m) != nil {
		return targets{}
	}
	found, err := m.Wait(ctx)
	if err != nil {
		return targets{}
	}
	return found
}

// placeAt asks a coordinator. It returns false if that gave no endpoint that this
// host may use, and no refusal either.
func (c *Client) placeAt(ctx context.Context, req Request, target target) (Placed, bool) {
	req.Shard = target.shard
	choice, err := c.choose(ctx, req, target)
	switch {
	case err != nil:
		return Placed{}, false
	case choice.Overload:
		return overloaded(choice, target.address != ""), true
	case choice.Endpoint == "":
		return Placed{}, false
	}
	placed, ok := c.confirm(ctx, req, choice)
	placed.ByCoordinator = target.address != ""
	if !ok && target.address == "" {
		c.release(ctx, req.Attempt)
	}
	return placed, ok
}

// choose asks a coordinator, which may be this host's own duty, for a choice.
func (c *Client) choose(ctx context.Context, req Request, target target) (Choice, error) {
	address := target.address
	if address == "" {
		return c.chooseLocally(ctx, req)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var choice Choice
	began := time.Now()
	err := codec.Call(callCtx, c.client, address, choosePath, &req, &choice)
	if c.zoneAware && ctx.Err() == nil {
		// The next answer makes up for one that finds the ring full.
		_ = c.local.TryPut(heard{rooms: map[string][]ShardRoom{req.Service: choice.Rooms}, zone: target.zone, took: time.Since(began)})
	}
	if err != nil && ctx.Err() == nil {
		c.log.Warn("placement request to the coordinator failed", zap.String("attempt", req.Attempt), zap.Int("shard", req.Shard),
			zap.String("keeper", address), zap.String("error", err.Error()))
		return choice, errors.Join(err, c.local.Put(ctx, unresponsive{address}))
	}
	return choice, err
}

// release removes an attempt that is not made from the count of this host's duty.
func (c *Client) release(ctx context.Context, attempt string) {
	released := Updates{Host: c.host, Updates: []Update{{Attempt: attempt, Result: core.ResultCancelled}}}
	_ = c.local.Put(context.WithoutCancel(ctx), ApplyUpdates{Updates: released})
}

func (c *Client) chooseLocally(ctx context.Context, req Request) (Choice, error) {
	m := Choose{Reply: ring.NewReply[Choice](), Request: req}
	if err := c.local.Put(ctx, m); err != nil {
		return Choice{}, err
	}
	return m.Wait(context.WithoutCancel(ctx))
}

// confirm also counts the attempt in this host's duty.
func (c *Client) confirm(ctx context.Context, req Request, choice Choice) (Placed, bool) {
	m := Confirm{Reply: ring.NewReply[Confirmed](), Request: req, Endpoint: choice.Endpoint, ColdGrant: choice.ColdGrant}
	if c.local.Put(ctx, m) != nil {
		return Placed{}, false
	}
	confirmed, err := m.Wait(context.WithoutCancel(ctx))
	return Placed{Endpoint: confirmed.Endpoint, Choice: choice}, err == nil && confirmed.OK
}

// placeAlone places the request by the attempts that this host knows.
func (c *Client) placeAlone(ctx context.Context, req Request) Placed {
	req.Shard = 0
	choice, err := c.chooseLocally(ctx, req)
	switch {
	case ctx.Err() != nil:
		c.release(ctx, req.Attempt)
		return endedBeforePlacement()
	case err != nil:
		return Placed{Refusal: core.RefuseWithRetry(core.ReasonNotReady, err.Error(), noEndpointRetryAfter)}
	case choice.Overload:
		return overloaded(choice, false)
	}
	if placed, ok := c.confirm(ctx, req, choice); ok {
		placed.LeftZone = c.leftZone(placed, causeAlone)
		return placed
	}
	c.release(ctx, req.Attempt)
	return Placed{Refusal: core.RefuseWithRetry(core.ReasonNoEndpoint, "no endpoint of the service: "+choice.BlockedReason, noEndpointRetryAfter)}
}

func endedBeforePlacement() Placed {
	return Placed{Refusal: core.RefuseWithRetry(core.ReasonDeadlinePassed, "the request ended before it was placed", noEndpointRetryAfter)}
}

func overloaded(choice Choice, byCoordinator bool) Placed {
	detail := "the endpoints have too much work"
	if choice.BlockedReason == blockedByShare {
		detail = "the endpoints have too much work, and the account uses more than its share of them"
	}
	return Placed{Choice: choice, ByCoordinator: byCoordinator, Refusal: core.RefuseWithRetry(core.ReasonShed, detail, time.Duration(choice.RetryAfterMS)*time.Millisecond)}
}

// RegisterHandlers adds the handlers for placement requests and updates of other
// hosts.
func (c *Client) RegisterHandlers(mux *http.ServeMux) {
	mux.Handle("POST "+choosePath, codec.Handle(func(ctx context.Context, req *Request) (*Choice, error) {
		m := Choose{Reply: ring.NewReply[Choice](), Request: *req, received: time.Now()}
		if err := c.local.TryPut(m); err != nil {
			return nil, err
		}
		choice, err := m.Wait(ctx)
		return &choice, err
	}))
	mux.Handle("POST "+updatesPath, codec.Handle(func(ctx context.Context, updates *Updates) (*UpdatesAnswer, error) {
		m := ApplyUpdates{Updates: *updates}
		if !c.zoneAware {
			return &UpdatesAnswer{}, c.local.TryPut(m)
		}
		m.Reply = ring.NewReply[UpdatesAnswer]()
		if err := c.local.TryPut(m); err != nil {
			return nil, err
		}
		answer, err := m.Wait(ctx)
		return &answer, err
	}))
}
