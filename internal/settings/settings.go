// Package settings holds what a process learns from its settings file: its
// own addresses and place, and where the platform and its peers are.
package settings

import "kingcupcourse/internal/core"

// Common is the part of the settings that every role has.
type Common struct {
	// Host is the name of the entry host that the process runs on.
	Host string `json:"host"`
	// Region is the region that the host is in.
	Region core.Region `json:"region"`
	// AvailabilityZone is the availability zone that the host is in.
	AvailabilityZone core.AvailabilityZone `json:"availability_zone"`
	// Control is the listener for other processes of the system, as
	// host:port by IP number; peers reach it at the same address.
	Control string `json:"control"`
	// Admin is the listener for metrics, health and readiness.
	Admin string `json:"admin"`
	// Peers are control addresses of other processes, tried when none is
	// known otherwise.
	Peers []string `json:"peers,omitempty"`
	// Platform is the base URL of the platform's object API.
	Platform string `json:"platform"`
	// Log sets the log output.
	Log Log `json:"log,omitzero"`
	// DrainMS bounds how long requests in progress may take to finish after
	// SIGTERM, in milliseconds. Default 120,000.
	DrainMS int64 `json:"drain_ms,omitempty"`
	// DrainDelayMS is how long the process goes on taking work after SIGTERM,
	// so that the balancer sees it unready and its peers learn that it
	// leaves, in milliseconds. Default 2,000.
	DrainDelayMS int64 `json:"drain_delay_ms,omitempty"`
	// FaultInjection opens POST /debug/kill?child=PATH on the admin
	// listener. Never set it in production. Default false.
	FaultInjection bool `json:"fault_injection,omitempty"`
}

// Log sets the log output.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level,omitempty"`
	// Format is json or console. Default json.
	Format string `json:"format,omitempty"`
}

// Entry is the settings of kingcup-entry.
type Entry struct {
	Common
	// Callers is the listener for callers.
	Callers string `json:"callers"`
	// FallbackFraction is the share of each endpoint's slots that this host
	// may use by itself while no scheduler answers. Default 1 divided by
	// the number of entry hosts known.
	FallbackFraction float64 `json:"fallback_fraction,omitempty"`
	// MaxRequests bounds the requests in progress at this host. Default
	// 4,096.
	MaxRequests int `json:"max_requests,omitempty"`
}

// Scheduler is the settings of kingcup-scheduler.
type Scheduler struct {
	Common
	// JournalFlushMS is the shortest time between two writes of one pool's
	// journal, in milliseconds. Default 10.
	JournalFlushMS int64 `json:"journal_flush_ms,omitempty"`
	// Policy is how endpoints are chosen: kingcup, or to compare with it
	// round_robin, least_outstanding or prefix_affinity. Default kingcup.
	Policy string `json:"policy,omitempty"`
}

// Rollout is the settings of kingcup-rollout.
type Rollout struct {
	Common
	// LeaseMS is how long a move's lease lasts, in milliseconds. Default
	// 5,000.
	LeaseMS int64 `json:"lease_ms,omitempty"`
}

// Gateway is the settings of kingcup-host.
type Gateway struct {
	// Host is the name of the entry host that the process runs on.
	Host string `json:"host"`
	// Region is the region that the host is in.
	Region core.Region `json:"region"`
	// AvailabilityZone is the availability zone that the host is in.
	AvailabilityZone core.AvailabilityZone `json:"availability_zone"`
	// Callers is the listener for callers.
	Callers string `json:"callers"`
	// Readiness is the listener that the balancer asks whether the host takes
	// callers.
	Readiness string `json:"readiness"`
	// Peers is the listener for other hosts and for metrics; other hosts
	// reach it at the same address.
	Peers string `json:"peers"`
	// Store is the base URL of the platform's store.
	Store string `json:"store"`
	// WatchMS is how long a watch at the store waits for a change, in
	// milliseconds. A watch that went silent is noticed that long, and a
	// call's time limit, after. Default 1,500.
	WatchMS int64 `json:"watch_ms,omitempty"`
	// StoreTimeoutMS bounds one call to the store, in milliseconds. Default
	// 1,000.
	StoreTimeoutMS int64 `json:"store_timeout_ms,omitempty"`
	// LimitOverage is the share of a client account's limit, and LimitSlack the
	// units, by which the account may exceed it in a window of LimitWindowMS
	// milliseconds before the operator counts it as exceeded.
	LimitOverage  float64 `json:"limit_overage"`
	LimitSlack    float64 `json:"limit_slack"`
	LimitWindowMS int64   `json:"limit_window_ms"`
	// RepeatShare is how many attempts beyond the first all hosts together may
	// make for each request of a service, and RepeatBurst how many beyond
	// that in the operator's window. A host uses half of both, so that a
	// change of the fleet's size never exceeds them.
	RepeatShare float64 `json:"repeat_share"`
	RepeatBurst float64 `json:"repeat_burst"`
	// ExposeShare is the largest share of a service's requests that an unproved
	// version may have, from 0 to 1, and ExposeFree how many it may have beyond
	// that.
	ExposeShare float64 `json:"expose_share"`
	ExposeFree  int     `json:"expose_free"`
	// GraceMS is the time from SIGTERM to SIGKILL, in milliseconds.
	GraceMS int64 `json:"grace_ms"`
	// DrainDelayMS is how long the process goes on taking connections after
	// SIGTERM, so that the balancer sees it unready, in milliseconds. Default
	// 2,500: the balancer turns away after two questions, one a second.
	DrainDelayMS int64 `json:"drain_delay_ms,omitempty"`
	// Log sets the log output.
	Log Log `json:"log,omitzero"`
}
