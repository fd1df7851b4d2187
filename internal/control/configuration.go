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

// logger abbreviates the type of each duty's log.
type logger = *zap.Logger

// configurationMessage is a message for the configuration duty.
type configurationMessage interface{ isConfigurationMessage() }

// manifestOffer is a manifest read from the platform or a peer.
type manifestOffer struct {
	version      uint64
	manifestJSON json.RawMessage
	// source is "platform" or the address of the peer, for the log.
	source string
}

// startupFetchDone reports that a fetcher has asked all of its peers at start;
// responded is set if any of them responded.
type startupFetchDone struct{ responded bool }

// initialSyncDone reports that this process holds the facts of its peers, or that
// the wait for them has timed out.
type initialSyncDone struct{}

// platformCallDone reports whether the last call of the manifest watch succeeded.
type platformCallDone struct{ up bool }

// snapshotUpdate carries the new snapshot of the members duty.
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

// configuration is the duty that owns the manifest in force and publishes the
// View. The manifest in force is the one with the highest version seen so far
// that has no findings; a manifest is applied as a whole or not at all.
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
	rejectedVersion uint64 // highest version refused for its findings

	fetchersDone      int  // fetchers that have asked all their peers
	platformTried     bool // a call to the platform has ended
	platformResponded bool // the platform has responded at least once
	peerResponded     bool // a peer responded at start
	factsSynced       bool // the initial sync of facts is done
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
		c.peerResponded = c.peerResponded || m.responded
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

// applyManifest puts a manifest into force if it is newer than the current one and
// has no findings.
func (c *configuration) applyManifest(ctx context.Context, offer manifestOffer) error {
	// A version below a refused one may still be the newest valid one.
	if offer.version <= c.view.ManifestVersion || offer.version == c.rejectedVersion {
		return nil
	}
	parsed, problems := manifest.Parse(offer.manifestJSON)
	if len(problems) > 0 {
		c.rejectedVersion = max(c.rejectedVersion, offer.version)
		c.metrics.manifestsRejected.Inc()
		c.log.Error("manifest refused", zap.Uint64("version", offer.version), zap.String("source", offer.source),
			zap.Strings("findings", findingLines(problems)))
		return c.announceManifest(ctx)
	}
	c.log.Info("manifest in force", zap.Uint64("version", offer.version),
		zap.Uint64("previous", c.view.ManifestVersion), zap.String("source", offer.source))
	c.view.Manifest, c.view.ManifestVersion, c.manifestJSON = parsed, offer.version, offer.manifestJSON
	c.metrics.manifestVersion.Set(float64(offer.version))
	c.publish()
	return c.announceManifest(ctx)
}

// announceManifest tells the members duty which manifest is in force, so that it
// announces this version to peers and fetches only newer ones.
func (c *configuration) announceManifest(ctx context.Context) error {
	return c.members.Put(ctx, manifestState{version: c.view.ManifestVersion, rejected: c.rejectedVersion})
}

func (c *configuration) updatePlatformState(up bool) {
	c.platformTried = true
	c.platformResponded = c.platformResponded || up
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

// updateReady makes the process ready once it has a manifest, has asked every
// source that may hold a newer one, and has synced facts with its peers if any
// responds. The process stays ready afterwards.
func (c *configuration) updateReady() {
	if c.ready.Load() || c.view.Manifest == nil || !c.hasAskedAllSources() {
		return
	}
	c.ready.Store(true)
	c.log.Info("configuration ready", zap.Uint64("version", c.view.ManifestVersion),
		zap.Int("members", len(c.view.Members)))
	c.publish()
}

// hasAskedAllSources reports whether the process has asked the platform and all
// configured peers. If a peer responded, the initial sync of facts must be done
// too; otherwise the platform must have responded.
func (c *configuration) hasAskedAllSources() bool {
	if !c.platformTried || c.fetchersDone < fetcherCount {
		return false
	}
	if c.peerResponded {
		return c.factsSynced
	}
	return c.platformResponded
}

// publish sends a copy of the view to every subscriber. Until the process is
// ready the copy has no manifest, so that no decision uses an old manifest or
// ignores the other members.
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
