package control

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"

	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// logger is short for the log that every duty has.
type logger = *zap.Logger

// configurationMessage is a message to the configuration duty.
type configurationMessage interface{ isConfigurationMessage() }

// manifestOffer is a manifest that somebody holds.
type manifestOffer struct {
	version      uint64
	manifestJSON json.RawMessage
	// source is the platform or the address of a peer, for the log.
	source string
}

// startupFetchDone tells that a fetcher has asked its share of the peers at start;
// answered tells whether any answered.
type startupFetchDone struct{ answered bool }

// initialSyncDone tells that this process knows what its peers share, or has
// waited for it long enough.
type initialSyncDone struct{}

// platformCallDone tells how the newest call of the manifest watch ended.
type platformCallDone struct{ up bool }

// snapshotUpdate is what the processes of the system agree on, from members.
type snapshotUpdate struct{ snapshot snapshot }

// manifestRequest asks for the manifest in force.
type manifestRequest struct {
	ring.Reply[*message.ManifestVersion]
}

// statusRequest asks for the status of the process.
type statusRequest struct {
	ring.Reply[*message.Status]
}

func (manifestOffer) isConfigurationMessage()    {}
func (startupFetchDone) isConfigurationMessage() {}
func (initialSyncDone) isConfigurationMessage()  {}
func (platformCallDone) isConfigurationMessage() {}
func (snapshotUpdate) isConfigurationMessage()   {}
func (manifestRequest) isConfigurationMessage()  {}
func (statusRequest) isConfigurationMessage()    {}

// configuration is the duty that owns the manifest in force. It keeps the
// highest version that it has ever seen and takes in a manifest only whole.
// It publishes the View.
type configuration struct {
	inbox       *ring.Ring[configurationMessage]
	members     *ring.Ring[membersMessage]
	subscribers []Subscription
	log         logger
	metrics     *metrics
	self        message.Member
	ready       *atomic.Bool

	view            View
	manifestJSON    json.RawMessage
	rejectedVersion uint64 // highest version refused because of its findings

	fetchersDone     int
	platformTried    bool
	platformAnswered bool // the platform has answered once
	peerAnswered     bool // a peer has answered at start
	factsSynced      bool // the facts that the peers share are known
}

// Serve implements supervisor.Duty.
func (c *configuration) Serve(ctx context.Context) error {
	c.publish()
	if err := c.announceManifest(ctx); err != nil {
		return err
	}
	return ring.Loop(ctx, c.inbox, func(m configurationMessage) error { return c.handle(ctx, m) })
}

func (c *configuration) handle(ctx context.Context, m configurationMessage) error {
	switch m := m.(type) {
	case manifestOffer:
		return c.applyManifest(ctx, m)
	case startupFetchDone:
		c.fetchersDone++
		c.peerAnswered = c.peerAnswered || m.answered
	case initialSyncDone:
		c.factsSynced = true
	case platformCallDone:
		c.updatePlatformState(m.up)
	case snapshotUpdate:
		c.applySnapshot(m.snapshot)
	case manifestRequest:
		m.Send(&message.ManifestVersion{Version: c.view.ManifestVersion, Manifest: c.manifestJSON})
	case statusRequest:
		m.Send(c.status())
	}
	c.updateReady()
	return nil
}

// applyManifest takes in a manifest that is newer than the one in force and has
// no findings.
func (c *configuration) applyManifest(ctx context.Context, m manifestOffer) error {
	// A version below a refused one may still be the newest that is good.
	if m.version <= c.view.ManifestVersion || m.version == c.rejectedVersion {
		return nil
	}
	parsed, list := manifest.Parse(m.manifestJSON)
	if len(list) > 0 {
		c.rejectedVersion = max(c.rejectedVersion, m.version)
		c.metrics.manifestsRejected.Inc()
		c.log.Error("manifest refused", zap.Uint64("version", m.version), zap.String("source", m.source),
			zap.Strings("findings", findingLines(list)))
		return c.announceManifest(ctx)
	}
	c.log.Info("manifest in force", zap.Uint64("version", m.version),
		zap.Uint64("previous", c.view.ManifestVersion), zap.String("source", m.source))
	c.view.Manifest, c.view.ManifestVersion, c.manifestJSON = parsed, m.version, m.manifestJSON
	c.metrics.manifestVersion.Set(float64(m.version))
	c.publish()
	return c.announceManifest(ctx)
}

// announceManifest lets the members duty offer the manifest in force to the peers and
// look for higher ones.
func (c *configuration) announceManifest(ctx context.Context) error {
	return c.members.Put(ctx, manifestState{version: c.view.ManifestVersion, rejected: c.rejectedVersion})
}

func (c *configuration) updatePlatformState(up bool) {
	c.platformTried = true
	c.platformAnswered = c.platformAnswered || up
	if c.view.PlatformUp == up {
		return
	}
	c.log.Info("platform state", zap.Bool("up", up))
	c.view.PlatformUp = up
	c.publish()
}

func (c *configuration) applySnapshot(s snapshot) {
	c.view.Members = s.members
	c.view.Draining = s.draining
	c.view.BadVersions = s.badVersions
	c.view.PoisonMarks = s.poisonMarks
	c.view.Moves = s.moves
	c.publish()
}

// updateReady makes the process ready once it has a manifest, has asked
// everybody who may hold a newer one, and knows the other members if there is
// any that answers. It stays ready afterwards.
func (c *configuration) updateReady() {
	if c.ready.Load() || c.view.Manifest == nil || !c.hasAskedAllSources() {
		return
	}
	c.ready.Store(true)
	c.log.Info("configuration ready", zap.Uint64("version", c.view.ManifestVersion),
		zap.Int("members", len(c.view.Members)))
	c.publish()
}

func (c *configuration) hasAskedAllSources() bool {
	if !c.platformTried || c.fetchersDone < fetcherCount {
		return false
	}
	if c.peerAnswered {
		return c.factsSynced
	}
	return c.platformAnswered
}

// publish hands a copy of the view to every subscriber. Until the process is
// ready the copy has no manifest, so that nothing is decided on an old one or
// without the other members.
func (c *configuration) publish() {
	view := c.view
	if !c.ready.Load() {
		view.Manifest, view.ManifestVersion = nil, 0
	}
	for _, s := range c.subscribers {
		s.Publish(&view)
	}
}

func (c *configuration) status() *message.Status {
	status := &message.Status{
		Member:          c.self,
		Ready:           c.ready.Load(),
		PlatformUp:      c.view.PlatformUp,
		ManifestVersion: c.view.ManifestVersion,
		RejectedVersion: c.rejectedVersion,
		Members:         c.view.Members,
		Moves:           sortedValues(c.view.Moves),
	}
	for _, m := range c.view.Members {
		if m.Host == c.self.Host && m.Role == c.self.Role {
			status.Member = m
		}
	}
	for _, bad := range c.view.BadVersions {
		status.BadVersions = append(status.BadVersions, bad)
	}
	slices.SortFunc(status.BadVersions, compareBadVersions)
	if c.view.Manifest != nil {
		status.Deployment = c.view.Manifest.Deployment
		status.Pools = poolStatuses(&c.view)
	}
	return status
}
