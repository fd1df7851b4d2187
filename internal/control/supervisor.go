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
	"kingcupcourse/internal/httpclient"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// pusherCount is the number of duties that push facts, and so the number of
	// peers to which each process pushes a fact that it learns.
	pusherCount = 3
	// fetcherCount is the number of duties that fetch manifests from peers.
	fetcherCount = 3
	// stopTimeout limits how long a control duty may take to stop. The longest
	// step of a duty is a call that ends with its context.
	stopTimeout = 5 * time.Second
)

// Intervals and keys of the platform watches; see the package documentation.
const (
	watchWait       = 5 * time.Second
	idleWatchPause  = 50 * time.Millisecond // between two long watches
	maxPollInterval = 30 * time.Second
	manifestKey     = "manifest"
	hostsKey        = "hosts"
	verdictsPrefix  = "verdicts/"
	movesPrefix     = "status/moves/"
)

// build creates the control duties and their supervisor. The duties are started
// in the order of the list and stopped in reverse: the producers of a duty start
// after it and stop before it. A child that fails is restarted alone and resumes
// from its state; a restart storm is escalated to the root.
func build(options Options) *Control {
	c := &Control{self: selfMember(options)}
	counters := newMetrics(options.Metrics)
	pooled := newPeerHTTPClient(counters)
	unpooled := newPeerHTTPClient(counters)
	unpooled.Transport.(*httpclient.Transport).DisableKeepAlives = true
	c.configuration = newConfiguration(c, options.Log, counters)
	c.members = newMembers(c, options.Log, counters, options.Settings.Peers)
	c.configuration.members = c.members.inbox
	c.members.configuration = c.configuration.inbox

	children := []supervisor.Child{
		{Name: "configuration", Duty: c.configuration},
		{Name: "members", Duty: c.members},
	}
	client := gossipClient{pooled: pooled, unpooled: unpooled, members: c.members.inbox, metrics: counters}
	c.members.probes = ring.New[outgoingGossip]("control_probe", outgoingCapacity)
	children = append(children, supervisor.Child{Name: "probe",
		Duty: &gossipSender{gossipClient: client, inbox: c.members.probes}})
	for i := range pusherCount {
		inbox := ring.New[outgoingGossip]("control_push", outgoingCapacity)
		c.members.pushes = append(c.members.pushes, inbox)
		children = append(children, supervisor.Child{Name: fmt.Sprintf("push-%d", i),
			Duty: &gossipSender{gossipClient: client, inbox: inbox}})
	}
	for i := range fetcherCount {
		children = append(children, supervisor.Child{Name: fmt.Sprintf("fetch-%d", i),
			Duty: c.newFetcher(i, pooled, options)})
	}
	children = append(children, c.watchers(options, counters)...)
	for i := range children {
		children[i].StopTimeout = stopTimeout
	}
	c.supervisor = supervisor.New(supervisor.Spec{Name: "control", Children: children}, options.Log)
	return c
}

// newPeerHTTPClient returns a client that counts the bytes of its connections.
func newPeerHTTPClient(counters *metrics) *http.Client {
	transport := codec.NewTransport(fetchTimeout)
	countBytes(transport.Transport, counters.peerBytes)
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

// newFetcher returns the fetcher of the given index, which asks every
// fetcherCount-th configured peer at start.
func (c *Control) newFetcher(index int, client *http.Client, options Options) *fetcher {
	f := &fetcher{
		client:        client,
		inbox:         ring.New[fetchRequest]("control_fetch", fetchCapacity),
		configuration: c.configuration.inbox,
		log:           options.Log,
	}
	for i, peer := range options.Settings.Peers {
		if i%fetcherCount == index && peer != c.self.Address {
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
