package placement

import (
	"context"
	"net/http"
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
	// noEndpointRetryAfter is the retry delay for a request without an endpoint.
	noEndpointRetryAfter = 500 * time.Millisecond
	// flushPeriod is how long updates are batched into one message to the
	// coordinator.
	flushPeriod = 40 * time.Millisecond
	// listPeriod is the time between two full lists, from which a new coordinator
	// learns the running attempts.
	listPeriod = 500 * time.Millisecond
	// updatesTimeout bounds the call that sends one message of updates.
	updatesTimeout = 150 * time.Millisecond
	// updatesCapacity bounds the queued updates. The next full list makes up for
	// a dropped one.
	updatesCapacity = 4096
)

// Client requests endpoints from the coordinator, and from this host's own duty
// if the coordinator does not respond.
type Client struct {
	local  *ring.Ring[Message]
	client *http.Client
	log    *zap.Logger
}

// NewClient returns a client that falls back to the host's own duty.
func NewClient(local *Duty, log *zap.Logger) *Client {
	return &Client{local: local.inbox, client: &http.Client{Transport: codec.NewTransport(0)}, log: log}
}

// Place chooses an endpoint for an attempt of this host. An update with a result
// releases the placement.
func (c *Client) Place(ctx context.Context, req Request) Placed {
	if req.Coordinator != "" {
		if placed, ok := c.askCoordinator(ctx, req); ok {
			return placed
		}
	}
	return c.placeLocally(ctx, req)
}

func (c *Client) askCoordinator(ctx context.Context, req Request) (Placed, bool) {
	ctx, cancel := context.WithTimeout(ctx, chooseTimeout)
	defer cancel()
	var choice Choice
	if err := codec.Call(ctx, c.client, req.Coordinator, choosePath, &req, &choice); err != nil {
		c.log.Warn("placement request to the coordinator failed", zap.String("attempt", req.Attempt), zap.String("keeper", req.Coordinator),
			zap.String("error", err.Error()))
		return Placed{}, false
	}
	if choice.Overload {
		return overloaded(choice, true), true
	}
	if choice.Endpoint == "" {
		return Placed{}, false
	}
	return c.confirm(ctx, req, choice)
}

// confirm also counts the attempt in this host's duty.
func (c *Client) confirm(ctx context.Context, req Request, choice Choice) (Placed, bool) {
	m := Confirm{Reply: ring.NewReply[Confirmed](), Request: req, Endpoint: choice.Endpoint}
	if c.local.Put(ctx, m) != nil {
		return Placed{}, false
	}
	confirmed, err := m.Wait(context.WithoutCancel(ctx))
	return Placed{Endpoint: confirmed.Endpoint, Choice: choice, ByCoordinator: true}, err == nil && confirmed.OK
}

func (c *Client) placeLocally(ctx context.Context, req Request) Placed {
	m := Choose{Reply: ring.NewReply[Choice](), Request: req}
	if c.local.Put(ctx, m) != nil {
		return Placed{Refusal: core.RefuseWithRetry(core.ReasonDeadlinePassed, "the request ended before it was placed", noEndpointRetryAfter)}
	}
	choice, err := m.Wait(context.WithoutCancel(ctx))
	if err != nil {
		return Placed{Refusal: core.RefuseWithRetry(core.ReasonNotReady, err.Error(), noEndpointRetryAfter)}
	}
	if choice.Overload {
		return overloaded(choice, false)
	}
	if placed, ok := c.confirm(ctx, req, choice); ok {
		placed.ByCoordinator = false
		return placed
	}
	return Placed{Refusal: core.RefuseWithRetry(core.ReasonNoEndpoint, "no endpoint of the service: "+choice.BlockedReason, noEndpointRetryAfter)}
}

func overloaded(choice Choice, byCoordinator bool) Placed {
	return Placed{Choice: choice, ByCoordinator: byCoordinator, Refusal: core.RefuseWithRetry(core.ReasonShed,
		"the endpoints have too much work", time.Duration(choice.RetryAfterMS)*time.Millisecond)}
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
	mux.Handle("POST "+updatesPath, codec.Handle(func(_ context.Context, updates *Updates) (*struct{}, error) {
		return &struct{}{}, c.local.TryPut(ApplyUpdates{Updates: *updates})
	}))
}
