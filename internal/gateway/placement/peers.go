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

// The paths where the keeper takes the questions and updates of other hosts.
const (
	choosePath  = "/v1/placement/choose"
	updatesPath = "/v1/placement/updates"
)

const (
	// chooseTimeout bounds a question to the keeper. A host that is frozen or
	// cut off must cost a request milliseconds.
	chooseTimeout = 40 * time.Millisecond
	// noEndpointRetry is when a caller may come back that found no endpoint.
	noEndpointRetry = 500 * time.Millisecond
	// flushPeriod is how long updates are collected for one message to the
	// keeper.
	flushPeriod = 40 * time.Millisecond
	// listPeriod is the time between two whole lists, from which a new keeper
	// learns what runs.
	listPeriod = 500 * time.Millisecond
	// updatesTimeout bounds one message of updates.
	updatesTimeout = 150 * time.Millisecond
	// updatesCapacity bounds the updates that wait. One that is dropped is
	// made good by the next list.
	updatesCapacity = 4096
)

// Client asks the keeper for endpoints, and this host if the keeper is silent.
type Client struct {
	own    *ring.Ring[Message]
	client *http.Client
	log    *zap.Logger
}

// NewClient returns the client of the keeper, beside the host's own duty.
func NewClient(own *Duty, log *zap.Logger) *Client {
	return &Client{own: own.inbox, client: &http.Client{Transport: codec.NewTransport(0)}, log: log}
}

// Place finds an endpoint for an attempt of this host. What it placed is
// given back by an update with a result.
func (p *Client) Place(ctx context.Context, ask Request) Placed {
	if ask.Coordinator != "" {
		if placed, ok := p.askKeeper(ctx, ask); ok {
			return placed
		}
	}
	return p.placeHere(ctx, ask)
}

func (p *Client) askKeeper(ctx context.Context, ask Request) (Placed, bool) {
	ctx, cancel := context.WithTimeout(ctx, chooseTimeout)
	defer cancel()
	var choice Choice
	if err := codec.Call(ctx, p.client, ask.Coordinator, choosePath, &ask, &choice); err != nil {
		p.log.Warn("keeper did not place", zap.String("attempt", ask.Attempt), zap.String("keeper", ask.Coordinator),
			zap.String("error", err.Error()))
		return Placed{}, false
	}
	if choice.Overload {
		return overloaded(choice, true), true
	}
	if choice.Endpoint == "" {
		return Placed{}, false
	}
	return p.confirm(ctx, ask, choice)
}

// confirm counts the attempt here, too.
func (p *Client) confirm(ctx context.Context, ask Request, choice Choice) (Placed, bool) {
	m := Confirm{Reply: ring.NewReply[Confirmed](), Request: ask, Endpoint: choice.Endpoint}
	if p.own.Put(ctx, m) != nil {
		return Placed{}, false
	}
	confirmed, err := m.Wait(context.WithoutCancel(ctx))
	return Placed{Endpoint: confirmed.Endpoint, Choice: choice, ByCoordinator: true}, err == nil && confirmed.OK
}

func (p *Client) placeHere(ctx context.Context, ask Request) Placed {
	m := Choose{Reply: ring.NewReply[Choice](), Request: ask}
	if p.own.Put(ctx, m) != nil {
		return Placed{Refusal: core.RefuseWithRetry(core.ReasonDeadlinePassed, "the request ended before it was placed", noEndpointRetry)}
	}
	choice, err := m.Wait(context.WithoutCancel(ctx))
	if err != nil {
		return Placed{Refusal: core.RefuseWithRetry(core.ReasonNotReady, err.Error(), noEndpointRetry)}
	}
	if choice.Overload {
		return overloaded(choice, false)
	}
	if placed, ok := p.confirm(ctx, ask, choice); ok {
		placed.ByCoordinator = false
		return placed
	}
	return Placed{Refusal: core.RefuseWithRetry(core.ReasonNoEndpoint, "no endpoint of the service: "+choice.BlockedReason, noEndpointRetry)}
}

func overloaded(choice Choice, keeper bool) Placed {
	return Placed{Choice: choice, ByCoordinator: keeper, Refusal: core.RefuseWithRetry(core.ReasonShed,
		"the endpoints have too much work", time.Duration(choice.RetryAfterMS)*time.Millisecond)}
}

// RegisterHandlers adds the handlers of other hosts' questions and updates.
func (p *Client) RegisterHandlers(mux *http.ServeMux) {
	mux.Handle("POST "+choosePath, codec.Handle(func(ctx context.Context, ask *Request) (*Choice, error) {
		m := Choose{Reply: ring.NewReply[Choice](), Request: *ask}
		if err := p.own.TryPut(m); err != nil {
			return nil, err
		}
		choice, err := m.Wait(ctx)
		return &choice, err
	}))
	mux.Handle("POST "+updatesPath, codec.Handle(func(_ context.Context, updates *Updates) (*struct{}, error) {
		return &struct{}{}, p.own.TryPut(ApplyUpdates{Updates: *updates})
	}))
}
