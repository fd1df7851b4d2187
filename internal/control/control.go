package control

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

// Capacities of the rings, in messages.
const (
	membersCapacity       = 1024
	configurationCapacity = 256
	outgoingCapacity      = 32
	fetchCapacity         = 8
	watchModeCapacity     = 16
)

// Options configures a Control.
type Options struct {
	Settings settings.Common
	Role     message.Role
	Log      *zap.Logger
	// Metrics is where the duties register their metrics.
	Metrics prometheus.Registerer
	// Platform is the client of the platform's object API.
	Platform *platform.Client
}

// Control is the interface of the control duties to the rest of the process.
// Its methods may be called by any duty.
type Control struct {
	self       message.Member
	supervisor *supervisor.Supervisor

	configuration *configuration
	members       *members
	ready         atomic.Bool
}

// New builds the duties, which start when Supervisor is served.
func New(options Options) *Control {
	return build(options)
}

// Supervisor returns the control supervisor, a child of the process's root.
func (c *Control) Supervisor() *supervisor.Supervisor { return c.supervisor }

// Subscribe returns a ring that receives each new View. It must be called before
// the supervisor is served.
func (c *Control) Subscribe() Subscription {
	subscription := ring.NewLatest[*View]()
	c.configuration.subscribers = append(c.configuration.subscribers, subscription)
	return subscription
}

// Report publishes a fact to all processes. It does not block: it returns
// ring.ErrFull when too many messages are waiting, and the caller may try again.
// For FactDraining and FactPoison a zero rank is replaced by the current time
// and a missing expiry by DrainingFactTTL or PoisonFactTTL.
func (c *Control) Report(fact message.Fact) error {
	return c.members.inbox.TryPut(localFact{fact: fact})
}

// ReportDraining publishes to all processes that an endpoint refused work because
// it drains.
func (c *Control) ReportDraining(endpoint string) error {
	return c.Report(message.Fact{Kind: message.FactDraining, Key: endpoint})
}

// AnnounceDraining announces to the other processes that this one drains and must
// get no new work.
func (c *Control) AnnounceDraining(ctx context.Context) error {
	return c.members.inbox.Put(ctx, drainStarted{})
}

// Ready reports whether the process has a manifest at least as new as those of
// the platform or the peers when it started.
func (c *Control) Ready() bool { return c.ready.Load() }

// Self returns the member entry of this process.
func (c *Control) Self() message.Member { return c.self }

// RegisterHandlers registers the handlers of PathGossip, PathManifest and
// PathStatus.
func (c *Control) RegisterHandlers(mux *http.ServeMux) {
	mux.Handle(message.PathGossip, codec.Handle(c.serveGossip))
	mux.Handle(message.PathStatus, codec.Handle(c.serveStatus))
	mux.HandleFunc("GET "+message.PathManifest, c.serveManifest)
}

// handlerTimeout limits how long a peer's call waits for a duty.
const handlerTimeout = 2 * time.Second

func (c *Control) serveGossip(ctx context.Context, gossip *message.Gossip) (*message.Gossip, error) {
	request := gossipRequest{gossip: gossip, Reply: ring.NewReply[*message.Gossip]()}
	return requestReply(ctx, c.members.inbox, membersMessage(request), request.Reply)
}

func (c *Control) serveStatus(ctx context.Context, _ *message.StatusRequest) (*message.Status, error) {
	request := statusRequest{Reply: ring.NewReply[*message.Status]()}
	return requestReply(ctx, c.configuration.inbox, configurationMessage(request), request.Reply)
}

func (c *Control) serveManifest(w http.ResponseWriter, r *http.Request) {
	request := manifestRequest{Reply: ring.NewReply[*message.ManifestVersion]()}
	inForce, err := requestReply(r.Context(), c.configuration.inbox, configurationMessage(request), request.Reply)
	if err != nil {
		codec.WriteError(w, err)
		return
	}
	codec.Write(w, inForce)
}

// requestReply puts a message into a duty's ring, failing if it is full, and
// waits for the reply.
func requestReply[T, R any](ctx context.Context, inbox *ring.Ring[T], message T, reply ring.Reply[R]) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
	defer cancel()
	if err := inbox.TryPut(message); err != nil {
		var zero R
		return zero, errors.Join(err, errors.New("control: busy"))
	}
	return reply.Wait(ctx)
}
