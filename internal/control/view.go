// Package control is the supervisor of the duties that every process runs
// to know the configuration, the other processes, and the facts that they
// share. Its duties publish one immutable View to the rings of subscribers.
//
// The duties are: configuration, which owns the manifest in force and
// publishes the View; members, which owns the shared facts; probe and push,
// which call peers for members; fetch, which gets manifests from peers;
// and watchers, which follow the platform.
//
// # Calls to the platform
//
// The platform counts each call, and a waiting watch as one a second, and
// allows about 2,000 reads a second. Only the first 24 members by hash hold
// long watches, on "manifest" and "hosts"; the others learn by gossip and
// poll all four prefixes about every 22 s, as the 24 do with "verdicts/" and
// "status/moves/". With 380 hosts of 3 processes that comes to
// 24 x 2 + (1140 x 4 - 24 x 2) / 22 = 253 calls a second, an eighth of what
// is allowed; with 7 hosts to 21 x 2 + 21 x 2 / 22 = 44.
package control

import (
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// View is what a process knows at one moment. It is immutable once
// published, so that duties may share it.
type View struct {
	// Manifest is the highest manifest ever seen, nil until the process is
	// ready.
	Manifest *manifest.Manifest
	// ManifestVersion is its version in the platform.
	ManifestVersion uint64
	// Members are the processes that are believed to be alive, by role and
	// host in that order; those that leave are marked.
	Members []message.Member
	// Draining holds the endpoints that get no new work.
	Draining map[string]bool
	// BadVersions holds every version judged bad.
	BadVersions map[core.EndpointVersion]message.BadVersion
	// PoisonMarks counts by fingerprint how many endpoints died under it.
	PoisonMarks map[string]int
	// Moves holds the stage of each planned move by name.
	Moves map[string]message.MoveStage
	// PlatformUp tells whether the platform answered lately.
	PlatformUp bool
}

// Subscription is a ring of capacity one that always holds the newest view:
// the subscriber takes it when it is ready for it.
type Subscription = *ring.Latest[*View]
