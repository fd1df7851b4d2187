package mirror

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/decision/fleet"
	"kingcupcourse/internal/httpclient"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// inboxCapacity bounds the queued messages.
	inboxCapacity = 512
	// holdTime is how long a request for changes is held if there are none. The
	// answer then shows that the host and its connection to the store work.
	holdTime = 300 * time.Millisecond
	// upstreamDialTimeout bounds a connection attempt to an upstream.
	upstreamDialTimeout = 300 * time.Millisecond
	// upstreamHeaderTimeout is how long an upstream may take for the header of its
	// answer. A frozen or unreachable upstream is noticed after that time.
	upstreamHeaderTimeout = holdTime + 400*time.Millisecond
	// upstreamTimeout bounds one answer of an upstream. A full list to all hosts of
	// a zone takes seconds on a slow link.
	upstreamTimeout = 4 * time.Second
)

// Config holds the dependencies of the duties.
type Config struct {
	// Host is the name of this host.
	Host  string
	Store *platform.Client
	// Hosts holds the hosts of the fleet. HostsPrefix is the prefix of their
	// entries, which must be followed.
	Hosts       *ring.Latest[*fleet.Ring]
	HostsPrefix string
	Log         *zap.Logger
}

// Mirror is the group of duties that follow the store.
type Mirror struct {
	config   Config
	keeper   *keeper
	children []supervisor.Child
}

// New returns the duties without any prefix to follow.
func New(c Config) *Mirror { return &Mirror{config: c, keeper: newKeeper(c)} }

// Follow makes the mirror follow the objects under a prefix. A watch call waits
// for a change for the given time. Updates, including failures, are passed to
// deliver on the keeper's goroutine. It must be called before Supervisor.
func (m *Mirror) Follow(prefix string, wait time.Duration, deliver func(context.Context, platform.Update) error) {
	m.keeper.follow(prefix, deliver)
	watcher := platform.NewWatcher(m.config.Store, prefix, wait, func(ctx context.Context, update platform.Update) error {
		return m.keeper.inbox.Put(ctx, storeResult{update})
	}).WithCursor(func(ctx context.Context) (platform.Cursor, error) {
		next := nextCursor{Reply: ring.NewReply[platform.Cursor](), prefix: prefix}
		if err := m.keeper.inbox.Put(ctx, next); err != nil {
			return platform.Cursor{}, err
		}
		return next.Wait(ctx)
	})
	m.children = append(m.children, supervisor.Child{Name: "follow-" + prefix, Duty: watcher})
}

// Supervisor returns the supervisor of the duties, not yet running.
//
// Children, in start order: the keeper of the copies, the duty that asks another
// host for changes, the duty that probes the store, and a watcher of the store for
// each prefix.
func (m *Mirror) Supervisor() *supervisor.Supervisor {
	transport := codec.NewTransport(upstreamHeaderTimeout)
	transport.DialContext = httpclient.DialContext(&net.Dialer{Timeout: upstreamDialTimeout})
	children := append([]supervisor.Child{
		{Name: "keeper", Duty: m.keeper},
		{Name: "upstream", Duty: &upstream{keeper: m.keeper.inbox, client: &http.Client{Transport: transport}}},
		{Name: "probe", Duty: &probe{keeper: m.keeper.inbox, store: m.config.Store, key: m.config.HostsPrefix + "/" + m.config.Host}},
	}, m.children...)
	return supervisor.New(supervisor.Spec{Name: "mirror", Children: children}, m.config.Log)
}

// Discovered tells the mirror some hosts of the fleet, from which it may learn of
// the others. The mirror reads nothing before the call.
func (m *Mirror) Discovered(ctx context.Context, hosts []fleet.Host) error {
	return m.keeper.inbox.Put(ctx, discovered{hosts})
}

// RegisterHandlers adds the handler for requests of other hosts.
func (m *Mirror) RegisterHandlers(mux *http.ServeMux) {
	mux.Handle("POST "+changesPath, codec.Handle(func(ctx context.Context, request *ChangesRequest) (*ChangesResponse, error) {
		message := changesMessage{Reply: ring.NewReply[ChangesResponse](), request: *request}
		if err := m.keeper.inbox.TryPut(message); err != nil {
			return nil, err
		}
		response, err := message.Wait(ctx)
		return &response, err
	}))
}

// upstream is the duty that asks another host for changes.
type upstream struct {
	keeper *ring.Ring[message]
	client *http.Client
}

// Serve implements supervisor.Duty.
func (u *upstream) Serve(ctx context.Context) error {
	for {
		next := nextUpstream{ring.NewReply[upstreamCall]()}
		if err := u.keeper.Put(ctx, next); err != nil {
			return err
		}
		call, err := next.Wait(ctx)
		if err != nil {
			return err
		}
		result := upstreamResult{call: call}
		result.err = u.ask(ctx, call, &result.response)
		if err := u.keeper.Put(ctx, result); err != nil {
			return err
		}
	}
}

func (u *upstream) ask(ctx context.Context, call upstreamCall, response *ChangesResponse) error {
	ctx, cancel := context.WithTimeout(ctx, upstreamTimeout)
	defer cancel()
	return codec.Call(ctx, u.client, call.host.Address, changesPath, &call.request, response)
}

// probe is the duty that probes the store.
type probe struct {
	keeper *ring.Ring[message]
	store  *platform.Client
	// key is a small object.
	key string
}

// Serve implements supervisor.Duty.
func (p *probe) Serve(ctx context.Context) error {
	for {
		next := nextProbe{ring.NewReply[struct{}]()}
		if err := p.keeper.Put(ctx, next); err != nil {
			return err
		}
		if _, err := next.Wait(ctx); err != nil {
			return err
		}
		err := p.store.Probe(ctx, p.key)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := p.keeper.Put(ctx, probeResult{err}); err != nil {
			return err
		}
	}
}
