// Package manifest holds what operators describe: pools, client accounts,
// routes, endpoint versions and planned moves.
package manifest

import "kingcupcourse/internal/core"

// Manifest is one accepted configuration. It comes from Parse and does not
// change afterwards, so that duties may share it.
type Manifest struct {
	// Deployment names the installation in logs and reports.
	Deployment string `json:"deployment"`
	// Tiers is how many tiers there are. Tier 1 is the most important.
	// Default 3.
	Tiers int `json:"tiers,omitempty"`
	// Regions lists the regions with their availability zones.
	Regions []Region `json:"regions"`
	// ClientAccounts lists who may call.
	ClientAccounts []ClientAccount `json:"client_accounts"`
	// Pools lists the sets of like endpoints.
	Pools []Pool `json:"pools"`
	// Routes tells which requests go to which pool. The first match wins.
	Routes []Route `json:"routes"`
	// Moves lists the planned version moves.
	Moves []Move `json:"moves,omitempty"`

	index index
}

// Region is a group of availability zones.
type Region struct {
	// Name is the name of the region.
	Name core.Region `json:"name"`
	// AvailabilityZones lists its availability zones.
	AvailabilityZones []core.AvailabilityZone `json:"availability_zones"`
}

// ClientAccount is one caller.
type ClientAccount struct {
	// Name is the name of the account in logs.
	Name string `json:"name"`
	// KeySHA256 lists the hex SHA-256 hashes of the bearer keys in force.
	KeySHA256 []string `json:"key_sha256"`
	// MaxTier is the most important tier that the account may use.
	// Default 1.
	MaxTier core.Tier `json:"max_tier,omitempty"`
	// Weight is the share among the accounts of a tier. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond limits the account at each entry host; zero for no
	// limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// HomeRegion is where the account's run-once requests are journaled.
	// Default the first region.
	HomeRegion core.Region `json:"home_region,omitempty"`
}

// Pool is a set of endpoints that can serve the same requests.
type Pool struct {
	// Name is what routes and moves call the pool.
	Name string `json:"name"`
	// Kind is "model" or "service".
	Kind core.Kind `json:"kind"`
	// Endpoints lists the pool's endpoints.
	Endpoints []Endpoint `json:"endpoints"`
	// QueueRequests bounds how many requests wait at once. Default 1024.
	QueueRequests int `json:"queue_requests,omitempty"`
	// QueueTokens bounds the estimated tokens of the waiting requests.
	// Default 4,000,000.
	QueueTokens int `json:"queue_tokens,omitempty"`
	// JournalSlots is how many slot objects the pool's journal has in the
	// platform. Default 256.
	JournalSlots int `json:"journal_slots,omitempty"`
	// RetentionMS is how long an idempotency key is remembered, in
	// milliseconds. Default 3,600,000 (one hour).
	RetentionMS int64 `json:"retention_ms,omitempty"`
	// ClockSkewMS is how far clocks of callers and hosts may differ, in
	// milliseconds. Default 5,000.
	ClockSkewMS int64 `json:"clock_skew_ms,omitempty"`
	// ProgressTimeoutMS is how long a connection to an endpoint may be
	// silent before it is probed, in milliseconds. Default 2,000.
	ProgressTimeoutMS int64 `json:"progress_timeout_ms,omitempty"`
	// ChecksFence tells whether the endpoints refuse an order that carries
	// an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// Endpoint is one back end.
type Endpoint struct {
	// Name is unique among all endpoints.
	Name string `json:"name"`
	// Address is host:port by IP number.
	Address string `json:"address"`
	// AvailabilityZone is where the endpoint is.
	AvailabilityZone core.AvailabilityZone `json:"availability_zone"`
	// Version is the version that the endpoint serves.
	Version core.Version `json:"version"`
	// Slots is how many requests the endpoint runs at once.
	Slots int `json:"slots"`
	// PrefillRate is a first guess in prompt tokens a second, for a model
	// engine. Default 4,000.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	// DecodeRate is a first guess in tokens a second of one running
	// request, for a model engine. Default 40.
	DecodeRate float64 `json:"decode_rate,omitempty"`
}

// Route tells what kind of request this is.
type Route struct {
	// Name is the name of the route in logs and metrics.
	Name string `json:"name"`
	// Pool is the pool that serves the route.
	Pool string `json:"pool"`
	// Methods limits the route to these methods; empty for all.
	Methods []string `json:"methods,omitempty"`
	// Path is the path, or with a trailing slash a path prefix.
	Path string `json:"path"`
	// Model limits the route to requests with this "model"; empty for all.
	Model string `json:"model,omitempty"`
	// Tier is the tier of the route's requests unless the caller asks for a
	// less important one. Default the least important.
	Tier core.Tier `json:"tier,omitempty"`
	// RunOnce tells that a request must run at most once. Callers must then
	// send an Idempotency-Key (a UUIDv7).
	RunOnce bool `json:"run_once,omitempty"`
	// DeadlineMS is the time to the whole answer unless the caller sets a
	// shorter one, in milliseconds. Default 60,000.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// OutputTokens is a first guess of the output length. Default 256.
	OutputTokens int `json:"output_tokens,omitempty"`
	// MaxBodyBytes limits the request body. Default 1,048,576.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
}

// Move is a planned version move.
type Move struct {
	// Name stands for one pair of versions of a pool for good.
	Name string `json:"name"`
	// Pool is the pool that the move is in.
	Pool string `json:"pool"`
	// FromVersion is the version that has the traffic before the move.
	FromVersion core.Version `json:"from_version"`
	// ToVersion is the version that has the traffic after the move.
	ToVersion core.Version `json:"to_version"`
	// DeadlineUnixMS is when the move must be done or reverted.
	DeadlineUnixMS int64 `json:"deadline_unix_ms"`
	// MaxShare is the largest share of the pool's traffic, from 0 to 1, for
	// the version while it is unproved. Default 0.05.
	MaxShare float64 `json:"max_share,omitempty"`
	// SoakMS is how long the version is watched at the largest share of the
	// ramp before the move is done, in milliseconds. Default 30,000.
	SoakMS int64 `json:"soak_ms,omitempty"`
}
