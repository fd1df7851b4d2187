// Package message holds the typed messages between the system's own
// processes. Package codec encodes them; decisions never see the encoding.
package message

import (
	"encoding/json"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/canary"
)

// Paths of the control listener. All take POST with a JSON body, except
// PathManifest, which takes GET.
const (
	PathGrants   = "/v1/grants"
	PathOutcomes = "/v1/outcomes"
	PathGossip   = "/v1/gossip"
	PathManifest = "/v1/manifest"
	PathStatus   = "/v1/status"
)

// GrantRequest asks the owner of a pool shard for permission to dispatch.
// The call waits until the request is placed or refused; ending the call
// withdraws the request.
type GrantRequest struct {
	RequestID       string    `json:"request_id"`
	Attempt         string    `json:"attempt"`
	Host            string    `json:"host"`
	Account         string    `json:"account"`
	Tier            core.Tier `json:"tier"`
	Pool            string    `json:"pool"`
	Route           string    `json:"route"`
	Key             string    `json:"key,omitempty"`
	Fingerprint     string    `json:"fingerprint,omitempty"`
	PromptTokens    int       `json:"prompt_tokens,omitempty"`
	MaxOutputTokens int       `json:"max_output_tokens,omitempty"`
	PrefixBlocks    []string  `json:"prefix_blocks,omitempty"`
	Exclude         []string  `json:"exclude,omitempty"`
	DeadlineUnixMS  int64     `json:"deadline_unix_ms"`
	ConfigVersion   uint64    `json:"config_version"`
}

// GrantReply answers a GrantRequest; exactly one of Grant, Refusal and Prior
// is set.
type GrantReply struct {
	Grant   *core.Grant        `json:"grant,omitempty"`
	Refusal *Refusal           `json:"refusal,omitempty"`
	Prior   *core.PriorOutcome `json:"prior,omitempty"`
	// Owner is the control address of the owner, set when the refusal's
	// reason is not_owner.
	Owner         string `json:"owner,omitempty"`
	ConfigVersion uint64 `json:"config_version"`
}

// Refusal is a core.Refusal on the wire.
type Refusal struct {
	core.Refusal
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// RunningRequest is an attempt in progress at an entry.
type RunningRequest struct {
	RequestID       string `json:"request_id"`
	Attempt         string `json:"attempt"`
	Endpoint        string `json:"endpoint"`
	Route           string `json:"route"`
	Account         string `json:"account"`
	PromptTokens    int    `json:"prompt_tokens,omitempty"`
	MaxOutputTokens int    `json:"max_output_tokens,omitempty"`
	// OutputTokens is how many tokens have arrived so far.
	OutputTokens int `json:"output_tokens,omitempty"`
}

// OutcomeReport tells the owner of a pool what has ended at an entry and
// what is still running there. It doubles as the entry's heartbeat.
type OutcomeReport struct {
	Host     string           `json:"host"`
	Pool     string           `json:"pool"`
	Outcomes []core.Outcome   `json:"outcomes,omitempty"`
	Running  []RunningRequest `json:"running,omitempty"`
	// Full tells that Running lists everything that runs at the entry.
	Full          bool   `json:"full"`
	ConfigVersion uint64 `json:"config_version"`
}

// OutcomeAck answers an OutcomeReport.
type OutcomeAck struct {
	// Owner is set to the owner's control address when the report reached a
	// scheduler that does not own the pool.
	Owner         string `json:"owner,omitempty"`
	ConfigVersion uint64 `json:"config_version"`
}

// FactKind tells what a fact is about.
type FactKind string

// The kinds of facts that processes tell each other.
const (
	// FactMember is a process; the key is host/role; the value a Member.
	FactMember FactKind = "member"
	// FactManifest names the highest manifest version; the key is empty.
	FactManifest FactKind = "manifest"
	// FactDraining is an endpoint that is leaving; the key is its name.
	FactDraining FactKind = "leaving"
	// FactBadVersion is a version judged bad for ever; the key is
	// pool/version; the value a BadVersion.
	FactBadVersion FactKind = "bad_version"
	// FactPoison is an endpoint that died under a request; the key is
	// fingerprint/endpoint.
	FactPoison FactKind = "poison"
	// FactMove is the stage of a planned move; the key is the move; the
	// value a MoveStage.
	FactMove FactKind = "move"
)

// Fact is a piece of shared knowledge. For one kind and key the fact with
// the highest rank wins, everywhere and for good, until it expires.
type Fact struct {
	Kind FactKind `json:"kind"`
	Key  string   `json:"key,omitempty"`
	Rank uint64   `json:"rank"`
	// ExpiresUnixMS is when the fact is forgotten; zero for never.
	ExpiresUnixMS int64           `json:"expires_unix_ms,omitempty"`
	Value         json.RawMessage `json:"value,omitempty"`
}

// Role is the role of a process on a host.
type Role string

// The roles of processes.
const (
	RoleEntry     Role = "entry"
	RoleScheduler Role = "scheduler"
	RoleRollout   Role = "rollout"
)

// Member describes a process of the system. Its fact's rank is the time at
// which the process last announced itself in Unix milliseconds, or one above
// that for a suspicion.
type Member struct {
	Host             string                `json:"host"`
	Role             Role                  `json:"role"`
	Region           core.Region           `json:"region"`
	AvailabilityZone core.AvailabilityZone `json:"availability_zone"`
	// Address is the control listener.
	Address string `json:"address"`
	// Draining tells that the process drains and must get no new work.
	Draining bool `json:"leaving,omitempty"`
	// Suspect tells that another process could not reach this one. It counts
	// as dead unless it announces itself again soon.
	Suspect bool `json:"suspect,omitempty"`
}

// BadVersion tells why a version was judged bad.
type BadVersion struct {
	Pool    string       `json:"pool"`
	Version core.Version `json:"version"`
	Route   string       `json:"route"`
	Reason  string       `json:"reason"`
}

// Stage is the stage of a planned move.
type Stage string

// The stages of a planned move, in their order.
const (
	StagePending  Stage = "pending"
	StageLoading  Stage = "loading"
	StageCanary   Stage = "canary"
	StageRamp     Stage = "ramp"
	StageSoak     Stage = "soak"
	StageDone     Stage = "done"
	StageReverted Stage = "reverted"
)

// MoveStage is how far a planned move has come.
type MoveStage struct {
	Move string `json:"move"`
	Pool string `json:"pool"`
	// ToVersion is the version that the stage was reached with. The stage
	// says nothing about a later move of the same name to another version.
	ToVersion core.Version `json:"to_version"`
	Stage     Stage        `json:"stage"`
	// Share is the largest share of the pool's traffic, from 0 to 1, that
	// the new version may have.
	Share  float64 `json:"share"`
	Reason string  `json:"reason,omitempty"`
	// Fence is the fencing number of the holder that set the stage.
	Fence uint64 `json:"fence"`
}

// Gossip is one message between two processes; the answer has the same form.
//
// A probe carries the hash of all facts that the sender holds. The answer
// carries the hash of the other side and, if they differ, the hash of each
// bucket of facts. A comparison then carries the digest of the buckets that
// differ, its scope; the answer carries the facts that the sender lacks, and
// in its digest those that the other side wants. A message without hash and
// scope only brings facts.
type Gossip struct {
	// From is the sender's control address.
	From string `json:"from"`
	// Hash is the hash of all facts that the sender holds.
	Hash uint64 `json:"hash,omitempty"`
	// Buckets are the hashes of the sender's facts, by bucket.
	Buckets []uint64 `json:"buckets,omitempty"`
	// Scope lists the buckets that Digest covers.
	Scope  []int        `json:"scope,omitempty"`
	Digest []FactDigest `json:"digest,omitempty"`
	// Facts always includes the FactManifest that the sender itself holds.
	Facts []Fact `json:"facts,omitempty"`
}

// FactDigest names the rank that a process knows of a fact.
type FactDigest struct {
	Kind FactKind `json:"kind"`
	Key  string   `json:"key,omitempty"`
	Rank uint64   `json:"rank"`
}

// ManifestVersion is the answer to GET PathManifest: the manifest's version
// in the platform and its text.
type ManifestVersion struct {
	Version  uint64          `json:"version"`
	Manifest json.RawMessage `json:"manifest"`
}

// PathEvidence asks the owner of a pool shard what it has seen of an
// unproved version.
const PathEvidence = "/v1/evidence"

// EvidenceRequest names the version.
type EvidenceRequest struct {
	Pool    string       `json:"pool"`
	Version core.Version `json:"version"`
}

// EvidenceReply is what the owner has seen, by route.
type EvidenceReply struct {
	Evidence []canary.RouteEvidence `json:"evidence,omitempty"`
	// Owner is set, and Evidence empty, at a scheduler that does not own
	// the shard.
	Owner string `json:"owner,omitempty"`
}

// MoveStatus is the value of a move's status object in the platform. It holds
// all that the holder of the move needs to go on.
type MoveStatus struct {
	MoveStage
	FromVersion    core.Version `json:"from_version"`
	DeadlineUnixMS int64        `json:"deadline_unix_ms"`
	// SinceUnixMS is when the stage and share were set.
	SinceUnixMS int64  `json:"since_unix_ms"`
	Holder      string `json:"holder"`
	// Requests is how many requests the new version had had by then.
	Requests int                    `json:"requests"`
	Evidence []canary.RouteEvidence `json:"evidence,omitempty"`
}
