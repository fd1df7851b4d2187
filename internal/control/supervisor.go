package control

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/decision/draining"
	"kingcupcourse/internal/decision/facts"
	"kingcupcourse/internal/decision/membership"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// pusherCount is how many duties push news, and so how many peers a
	// fact is pushed to by each process that learns it.
	pusherCount = 3
	// fetcherCount is how many duties fetch manifests from peers.
	fetcherCount = 3
	// stopTimeout bounds how long a control duty may take to stop. The
	// longest step of a duty is a call that ends with its context.
	stopTimeout = 5 * time.Second
)

// Periods of the platform watches; see the package documentation.
const (
	watchWait       = 5 * time.Second
	idleWatchPause  = 50 * time.Millisecond // between two long watches
	maxPollInterval = 30 * time.Second
	manifestKey     = "manifest"
	hostsKey        = "hosts"
	verdictsPrefix  = "verdicts/"
	movesPrefix     = "status/moves/"
)

// build lists the children of the control supervisor. They are started in
// this order and stopped in the reverse: what feeds a duty starts after it
// and stops before it. A child that fails is restarted alone and goes on from
// its state; a restart storm is passed on to the root.
func build(options Options) *Control {
	c := &Control{self: selfMember(options)}
	counters := newMetrics(options.Metrics)
	client := newPeerHTTPClient(counters)
	fresh := newPeerHTTPClient(counters)
	fresh.Transport.(*http.Transport).DisableKeepAlives = true
	c.configuration = newConfiguration(c, options.Log, counters)
	c.members = newMembers(c, options.Log, counters, options.Settings.Peers)
	c.configuration.members = c.members.inbox
	c.members.configuration = c.configuration.inbox

	children := []supervisor.Child{
		{Name: "configuration", Duty: c.configuration},
		{Name: "members", Duty: c.members},
	}
	caller := gossipClient{pooled: client, unpooled: fresh, members: c.members.inbox, metrics: counters}
	c.members.probes = ring.New[outgoingGossip]("control_probe", outgoingCapacity)
	children = append(children, supervisor.Child{Name: "probe",
		Duty: &gossipSender{gossipClient: caller, inbox: c.members.probes}})
	for i := range pusherCount {
		inbox := ring.New[outgoingGossip]("control_push", outgoingCapacity)
		c.members.pushes = append(c.members.pushes, inbox)
		children = append(children, supervisor.Child{Name: fmt.Sprintf("push-%d", i),
			Duty: &gossipSender{gossipClient: caller, inbox: inbox}})
	}
	for i := range fetcherCount {
		children = append(children, supervisor.Child{Name: fmt.Sprintf("fetch-%d", i),
			Duty: c.newFetcher(i, client, options)})
	}
	children = append(children, c.watchers(options, counters)...)
	for i := range children {
		children[i].StopTimeout = stopTimeout
	}
	c.supervisor = supervisor.New(supervisor.Spec{Name: "control", Children: children}, options.Log)
	return c
}

// newPeerHTTPClient returns a client whose connections are counted.
func newPeerHTTPClient(counters *metrics) *http.Client {
	transport := codec.NewTransport(fetchTimeout)
	countBytes(transport, counters.peerBytes)
	return &http.Client{Transport: transport}
}

func selfMember(options Options) message.Member {
	return message.Member{
		Host:             options.Settings.Host,
		Role:             options.Role,
		Region:           options.Settings.Region,
		AvailabilityZone: options.Settings.AvailabilityZone,
		Address:          options.Settings.Control,
	}
}

// newFetcher returns the fetcher that asks its share of the configured peers
// at start.
func (c *Control) newFetcher(number int, client *http.Client, options Options) *fetcher {
	f := &fetcher{
		client:        client,
		inbox:         ring.New[fetchRequest]("control_fetch", fetchCapacity),
		configuration: c.configuration.inbox,
		log:           options.Log,
	}
	for i, peer := range options.Settings.Peers {
		if i%fetcherCount == number && peer != c.self.Address {
			f.startupPeers = append(f.startupPeers, peer)
		}
	}
	c.members.fetches = append(c.members.fetches, f.inbox)
	return f
}

func (c *Control) watchers(options Options, counters *metrics) []supervisor.Child {
	var children []supervisor.Child
	for _, spec := range []watchSpec{
		{name: "watch-manifest", prefix: manifestKey, long: true, deliver: c.deliverManifest, reportResult: c.reportPlatformState},
		{name: "watch-hosts", prefix: hostsKey, long: true, deliver: c.deliverHosts},
		{name: "poll-verdicts", prefix: verdictsPrefix, deliver: c.deliverVerdict},
		{name: "poll-moves", prefix: movesPrefix, deliver: c.deliverMove},
	} {
		w := &watcher{
			watchSpec: spec,
			platform:  options.Platform,
			modes:     ring.New[watchMode]("control_"+spec.name, watchModeCapacity),
			log:       options.Log,
			metrics:   counters,
		}
		if spec.long {
			c.members.watchModes = append(c.members.watchModes, w.modes)
		}
		children = append(children, supervisor.Child{Name: spec.name, Duty: w})
	}
	return children
}

func newMembers(c *Control, log logger, counters *metrics, seeds []string) *members {
	return &members{
		inbox:        ring.New[membersMessage]("control_members", membersCapacity),
		log:          log,
		metrics:      counters,
		self:         c.self,
		seeds:        slices.Clone(seeds),
		store:        facts.NewStore(),
		platformList: draining.NewPlatformList(),
		known:        map[string]message.Member{},
		alive:        map[string]bool{membership.Key(c.self): true},

		suspectedAt: map[string]time.Time{},
	}
}

func newConfiguration(c *Control, log logger, counters *metrics) *configuration {
	return &configuration{
		inbox:   ring.New[configurationMessage]("control_configuration", configurationCapacity),
		log:     log,
		metrics: counters,
		self:    c.self,
		ready:   &c.ready,
		view:    View{Members: []message.Member{c.self}},
	}
}
