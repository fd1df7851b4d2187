// Package manifest defines the configuration that operators commit: regions,
// client accounts, pools, routes, endpoint versions and planned moves.
package manifest

import "kingcupcourse/internal/core"

// Manifest is one valid configuration. It is returned by Parse and is immutable,
// so that duties may share it.
type Manifest struct {
	// Deployment names the installation in logs and reports.
	Deployment string `json:"deployment"`
	// Tiers is the number of tiers. Tier 1 is the most important.
	// Default 3.
	Tiers int `json:"tiers,omitempty"`
	// Regions lists the regions with their availability zones.
	Regions []Region `json:"regions"`
	// ClientAccounts lists the accounts that may send requests.
	ClientAccounts []ClientAccount `json:"client_accounts"`
	// Pools lists the sets of interchangeable endpoints.
	Pools []Pool `json:"pools"`
	// Routes maps requests to pools. The first match wins.
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

// ClientAccount is an account that callers authenticate as.
type ClientAccount struct {
	// Name is the name of the account in logs.
	Name string `json:"name"`
	// KeySHA256 lists the hex SHA-256 hashes of the valid bearer keys.
	KeySHA256 []string `json:"key_sha256"`
	// MaxTier is the most important tier that the account may use.
	// Default 1.
	MaxTier core.Tier `json:"max_tier,omitempty"`
	// Weight is the relative share of the account within a tier. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond limits the account's request rate at each entry
	// host; zero for no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// HomeRegion is the region where the account's run-once requests are
	// journaled. Default the first region.
	HomeRegion core.Region `json:"home_region,omitempty"`
}

// Pool is a set of endpoints that can serve the same requests.
type Pool struct {
	// Name is the name that routes and moves refer to.
	Name string `json:"name"`
	// Kind is "model" or "service".
	Kind core.Kind `json:"kind"`
	// Endpoints lists the pool's endpoints.
	Endpoints []Endpoint `json:"endpoints"`
	// QueueRequests limits the number of waiting requests. Default 1024.
	QueueRequests int `json:"queue_requests,omitempty"`
	// QueueTokens limits the estimated tokens of the waiting requests.
	// Default 4,000,000.
	QueueTokens int `json:"queue_tokens,omitempty"`
	// JournalSlots is the number of slot objects of the pool's journal in
	// the platform. Default 256.
	JournalSlots int `json:"journal_slots,omitempty"`
	// RetentionMS is how long an idempotency key is remembered, in
	// milliseconds. Default 3,600,000 (one hour).
	RetentionMS int64 `json:"retention_ms,omitempty"`
	// ClockSkewMS is the largest difference between the clocks of callers
	// and hosts, in milliseconds. Default 5,000.
	ClockSkewMS int64 `json:"clock_skew_ms,omitempty"`
	// ProgressTimeoutMS is how long a connection to an endpoint may be
	// silent before it is probed, in milliseconds. Default 2,000.
	ProgressTimeoutMS int64 `json:"progress_timeout_ms,omitempty"`
	// ChecksFence is set if the endpoints reject an order with an
	// outdated fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// Endpoint is one server of a pool.
type Endpoint struct {
	// Name is unique among all endpoints.
	Name string `json:"name"`
	// Address is an IP address with port.
	Address string `json:"address"`
	// AvailabilityZone is the availability zone of the endpoint.
	AvailabilityZone core.AvailabilityZone `json:"availability_zone"`
	// Version is the version that the endpoint serves.
	Version core.Version `json:"version"`
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int `json:"slots"`
	// PrefillRate is the initial estimate of the prefill speed of a model
	// engine, in prompt tokens per second. Default 4,000.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	// DecodeRate is the initial estimate of the decode speed of a model
	// engine for one running request, in tokens per second. Default 40.
	DecodeRate float64 `json:"decode_rate,omitempty"`
}

// Route maps a class of requests to a pool and sets their defaults and limits.
type Route struct {
	// Name is the name of the route in logs and metrics.
	Name string `json:"name"`
	// Pool is the pool that serves the route.
	Pool string `json:"pool"`
	// Methods limits the route to these HTTP methods; empty for all.
	Methods []string `json:"methods,omitempty"`
	// Path is the exact path, or a path prefix if it ends in a slash.
	Path string `json:"path"`
	// Model limits the route to requests with this value of "model"; empty
	// for all.
	Model string `json:"model,omitempty"`
	// Tier is the tier of the route's requests unless the caller requests a
	// less important one. Default the least important.
	Tier core.Tier `json:"tier,omitempty"`
	// RunOnce means that a request must run at most once. Callers must then
	// send an Idempotency-Key (a UUIDv7).
	RunOnce bool `json:"run_once,omitempty"`
	// DeadlineMS is the time limit for the complete response unless the
	// caller sets a shorter one, in milliseconds. Default 60,000.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// OutputTokens is the initial estimate of the output length, in tokens.
	// Default 256.
	OutputTokens int `json:"output_tokens,omitempty"`
	// MaxBodyBytes limits the size of the request body. Default 1,048,576.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
}

// Move is a planned move of a pool's traffic from one version to another.
type Move struct {
	// Name identifies the move permanently: it can't be reused for another
	// pair of versions or pool.
	Name string `json:"name"`
	// Pool is the pool whose traffic is moved.
	Pool string `json:"pool"`
	// FromVersion is the version that serves the traffic before the move.
	FromVersion core.Version `json:"from_version"`
	// ToVersion is the version that serves the traffic after the move.
	ToVersion core.Version `json:"to_version"`
	// DeadlineUnixMS is the time by which the move must be done or reverted,
	// in Unix milliseconds.
	DeadlineUnixMS int64 `json:"deadline_unix_ms"`
	// MaxShare is the largest share of the pool's traffic, from 0 to 1, that
	// the target version gets while it is a candidate. Default 0.05.
	MaxShare float64 `json:"max_share,omitempty"`
	// SoakMS is how long the target version is observed at the largest share
	// of the ramp before the move is done, in milliseconds. Default 30,000.
	SoakMS int64 `json:"soak_ms,omitempty"`
}
