// Package control implements the duties with which every process learns the
// configuration, the other processes and the facts that they share. The duties
// publish an immutable View to the rings of subscribers.
//
// The duties are: configuration, which owns the manifest in force and
// publishes the View; members, which owns the shared facts; probe and push,
// which make gossip calls to peers for members; fetch, which gets manifests
// from peers; and the watchers, which follow objects of the platform.
//
// # Calls to the platform
//
// The platform counts each call, and a waiting watch as one call per second, and
// allows about 2,000 reads per second. Only the first 24 members by hash hold
// long watches, on "manifest" and "hosts". The others learn of changes by gossip
// and poll all four prefixes about every 22 s, as the 24 do with "verdicts/" and
// "status/moves/". With 380 hosts of 3 processes each this makes
// 24 x 2 + (1140 x 4 - 24 x 2) / 22 = 253 calls per second, an eighth of the
// allowed rate; with 7 hosts 21 x 2 + 21 x 2 / 22 = 44.
package control

import (
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

// View is the configuration and the shared state as a process knows them at one
// moment. It is immutable once published, so that duties may share it.
type View struct {
	// Manifest is the manifest in force, nil until the process is ready.
	Manifest *manifest.Manifest
	// ManifestVersion is the version of Manifest in the platform.
	ManifestVersion uint64
	// Members lists the processes believed to be alive, sorted by role and host.
	// Those that drain are marked.
	Members []message.Member
	// Draining holds the names of the endpoints that get no new work.
	Draining map[string]bool
	// BadVersions holds all versions judged bad.
	BadVersions map[core.EndpointVersion]message.BadVersion
	// PoisonMarks holds the number of endpoints that died while running a
	// request, by the request's fingerprint.
	PoisonMarks map[string]int
	// Moves holds the stage of each planned move, by the name of the move.
	Moves map[string]message.MoveStage
	// PlatformUp reports whether the last call of the manifest watch succeeded.
	PlatformUp bool
}

// Subscription is a ring of capacity one that holds the newest View until the
// subscriber takes it.
type Subscription = *ring.Latest[*View]
