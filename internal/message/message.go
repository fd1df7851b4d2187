// Package message defines the messages between the system's processes. Package
// codec encodes them; the decision packages don't depend on the encoding.
package message

import (
	"encoding/json"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/canary"
)

// Paths of the control listener. All accept POST with a JSON body, except
// PathManifest, which accepts GET.
const (
	PathGrants   = "/v1/grants"
	PathOutcomes = "/v1/outcomes"
	PathGossip   = "/v1/gossip"
	PathManifest = "/v1/manifest"
	PathStatus   = "/v1/status"
)

// GrantRequest asks the owner of a pool shard for permission to dispatch a
// request. The call blocks until the request is placed or refused; cancelling
// the call withdraws the request.
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

// GrantReply is the reply to a GrantRequest; exactly one of Grant, Refusal and
// Prior is set.
type GrantReply struct {
	Grant   *core.Grant        `json:"grant,omitempty"`
	Refusal *Refusal           `json:"refusal,omitempty"`
	Prior   *core.PriorOutcome `json:"prior,omitempty"`
	// Owner is the control address of the shard's owner, set if the reason of
	// the refusal is not_owner.
	Owner         string `json:"owner,omitempty"`
	ConfigVersion uint64 `json:"config_version"`
}

// Refusal is the wire format of a core.Refusal.
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
	// OutputTokens is the number of tokens received so far.
	OutputTokens int `json:"output_tokens,omitempty"`
}

// OutcomeReport reports the finished and the running attempts of an entry to
// the owner of a pool. It also serves as the entry's heartbeat.
type OutcomeReport struct {
	Host     string           `json:"host"`
	Pool     string           `json:"pool"`
	Outcomes []core.Outcome   `json:"outcomes,omitempty"`
	Running  []RunningRequest `json:"running,omitempty"`
	// Full reports that Running lists all running attempts of the entry.
	Full          bool   `json:"full"`
	ConfigVersion uint64 `json:"config_version"`
}

// OutcomeAck is the reply to an OutcomeReport.
type OutcomeAck struct {
	// Owner is the owner's control address, set if the report was sent to a
	// scheduler that does not own the pool.
	Owner         string `json:"owner,omitempty"`
	ConfigVersion uint64 `json:"config_version"`
}

// FactKind is the type of a fact.
type FactKind string

// The kinds of facts that processes exchange.
const (
	// FactMember describes a process. The key is host/role, the value a Member.
	FactMember FactKind = "member"
	// FactManifest holds the highest manifest version as its rank. The key is
	// empty.
	FactManifest FactKind = "manifest"
	// FactDraining marks an endpoint as draining. The key is the endpoint's
	// name, the value an EndpointDraining.
	FactDraining FactKind = "leaving"
	// FactBadVersion marks a version as bad, permanently. The key is
	// pool/version, the value a BadVersion.
	FactBadVersion FactKind = "bad_version"
	// FactPoison records that an endpoint died while it ran a request. The key
	// is fingerprint/endpoint.
	FactPoison FactKind = "poison"
	// FactMove is the stage of a planned move. The key is the name of the
	// move, the value a MoveStage.
	FactMove FactKind = "move"
)

// Fact is an entry of the state that the processes replicate by gossip. Among
// facts of the same kind and key, the one with the highest rank replaces the
// others on every process until it expires.
type Fact struct {
	Kind FactKind `json:"kind"`
	Key  string   `json:"key,omitempty"`
	Rank uint64   `json:"rank"`
	// ExpiresUnixMS is when the fact expires, zero for never.
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

// Member describes a process of the system. The rank of its fact is the time
// of the process's last announcement in Unix milliseconds, plus one for a
// suspicion.
type Member struct {
	Host             string                `json:"host"`
	Role             Role                  `json:"role"`
	Region           core.Region           `json:"region"`
	AvailabilityZone core.AvailabilityZone `json:"availability_zone"`
	// Address is the address of the control listener.
	Address string `json:"address"`
	// Draining reports that the process is draining and must get no new
	// requests.
	Draining bool `json:"leaving,omitempty"`
	// Suspect reports that another process could not reach this one. It is
	// considered dead unless it announces itself again in time.
	Suspect bool `json:"suspect,omitempty"`
}

// BadVersion describes why a version was marked as bad.
type BadVersion struct {
	Pool    string       `json:"pool"`
	Version core.Version `json:"version"`
	Route   string       `json:"route"`
	Reason  string       `json:"reason"`
}

// Stage is the stage of a planned move.
type Stage string

// The stages of a planned move, in order.
const (
	StagePending  Stage = "pending"
	StageLoading  Stage = "loading"
	StageCanary   Stage = "canary"
	StageRamp     Stage = "ramp"
	StageSoak     Stage = "soak"
	StageDone     Stage = "done"
	StageReverted Stage = "reverted"
)

// MoveStage is the progress of a planned move.
type MoveStage struct {
	Move string `json:"move"`
	Pool string `json:"pool"`
	// ToVersion is the target version of the move. The stage does not apply to
	// a later move of the same name to another version.
	ToVersion core.Version `json:"to_version"`
	Stage     Stage        `json:"stage"`
	// Share is the maximum share of the pool's traffic, from 0 to 1, that the
	// new version may get.
	Share  float64 `json:"share"`
	Reason string  `json:"reason,omitempty"`
	// Fence is the fencing number of the lease holder that set the stage.
	Fence uint64 `json:"fence"`
}

// Gossip is an anti-entropy message between two processes. The reply has the
// same type.
//
// A probe carries the hash of all facts of the sender. The reply carries the
// receiver's hash and, if the two differ, the hash of each bucket of facts. A
// comparison then carries the digest of the differing buckets, listed in
// Scope; the reply carries the facts that the sender lacks, and a digest of
// the facts that the receiver requests. A message without Hash and Scope only
// delivers facts.
type Gossip struct {
	// From is the sender's control address.
	From string `json:"from"`
	// Hash is the hash of all facts of the sender.
	Hash uint64 `json:"hash,omitempty"`
	// Buckets holds the hash of each bucket of the sender's facts.
	Buckets []uint64 `json:"buckets,omitempty"`
	// Scope lists the buckets that Digest covers.
	Scope  []int        `json:"scope,omitempty"`
	Digest []FactDigest `json:"digest,omitempty"`
	// Facts always includes the sender's own FactManifest.
	Facts []Fact `json:"facts,omitempty"`
}

// FactDigest is the rank of a fact as known to a process.
type FactDigest struct {
	Kind FactKind `json:"kind"`
	Key  string   `json:"key,omitempty"`
	Rank uint64   `json:"rank"`
}

// ManifestVersion is the response to GET PathManifest: the manifest and its
// version in the platform.
type ManifestVersion struct {
	Version  uint64          `json:"version"`
	Manifest json.RawMessage `json:"manifest"`
}

// PathEvidence is the path of EvidenceRequest.
const PathEvidence = "/v1/evidence"

// EvidenceRequest asks the owner of a pool shard for its observations of a
// version that is not proved yet.
type EvidenceRequest struct {
	Pool    string       `json:"pool"`
	Version core.Version `json:"version"`
}

// EvidenceReply holds the owner's observations by route.
type EvidenceReply struct {
	Evidence []canary.RouteEvidence `json:"evidence,omitempty"`
	// Owner is the owner's control address, set if the scheduler asked does
	// not own the shard. Evidence is then empty.
	Owner string `json:"owner,omitempty"`
}

// MoveStatus is the value of a move's status object in the platform. It holds
// everything that a new holder of the move needs to resume it.
type MoveStatus struct {
	MoveStage
	FromVersion    core.Version `json:"from_version"`
	DeadlineUnixMS int64        `json:"deadline_unix_ms"`
	// SinceUnixMS is when Stage and Share were set.
	SinceUnixMS int64  `json:"since_unix_ms"`
	Holder      string `json:"holder"`
	// Requests is the number of requests that the new version had served by
	// then.
	Requests int                    `json:"requests"`
	Evidence []canary.RouteEvidence `json:"evidence,omitempty"`
}
