// Package control is the supervisor of the duties that every process runs
// to know the configuration, the other processes, and the facts that they
// share. Its duties publish one immutable View to the rings of subscribers.
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
	// Manifest is the highest manifest ever seen, nil before the first.
	Manifest *manifest.Manifest
	// ManifestVersion is its version in the platform.
	ManifestVersion uint64
	// Members are the processes that are believed to be alive, by role and
	// host in that order; those that leave are marked.
	Members []message.Member
	// Leaving holds the endpoints that get no new work.
	Leaving map[string]bool
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
