// Package settings reads the settings file of a process: its addresses and
// location, and the addresses of the platform and its peers.
package settings

import (
	"cmp"
	"time"

	"kingcupcourse/internal/core"
)

// Common holds the settings that all roles have in common.
type Common struct {
	// Host is the name of the entry host that the process runs on.
	Host string `json:"host"`
	// Region is the region of the host.
	Region core.Region `json:"region"`
	// AvailabilityZone is the availability zone of the host.
	AvailabilityZone core.AvailabilityZone `json:"availability_zone"`
	// Control is the listen address for other processes of the system, as IP
	// address and port; peers connect to the same address.
	Control string `json:"control"`
	// Admin is the listen address for metrics, health and readiness.
	Admin string `json:"admin"`
	// Peers lists control addresses of other processes. They are contacted at
	// start, and later while no live member is known at them.
	Peers []string `json:"peers,omitempty"`
	// Platform is the base URL of the platform's object API.
	Platform string `json:"platform"`
	// Log configures the log output.
	Log Log `json:"log,omitzero"`
	// DrainMS is the time that requests in progress have to finish after
	// SIGTERM, in milliseconds. Default 120,000.
	DrainMS Milliseconds `json:"drain_ms,omitempty"`
	// DrainDelayMS is the time after SIGTERM during which the process still
	// accepts work while the load balancer sees it as unready and its peers
	// learn that it drains, in milliseconds. Default 2,000.
	DrainDelayMS Milliseconds `json:"drain_delay_ms,omitempty"`
	// MemoryMB is the memory that the process must not exceed, in MB. What all
	// callers and peers together may hold follows from it. Default 1,024.
	MemoryMB Megabytes `json:"memory_mb,omitempty"`
	// MaxFiles is the number of descriptors that the process may have open. How many
	// connections it accepts follows from it. Default 4,096.
	MaxFiles Count `json:"max_files,omitempty"`
	// FaultInjection enables POST /debug/kill?child=PATH on the admin
	// listener. Never enable it in production. Default false.
	FaultInjection bool `json:"fault_injection,omitempty"`
}

// Log configures the log output.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	// Default info.
	Level string `json:"level,omitempty"`
	// Format is the format of log lines: json or console. Default json.
	Format string `json:"format,omitempty"`
}

// Entry holds the settings of kingcup-entry.
type Entry struct {
	Common
	// Callers is the listen address for requests from callers.
	Callers string `json:"callers"`
	// FallbackFraction is the fraction of each endpoint's slots that this host
	// may use on its own while no scheduler responds, at most 1. Default 1
	// divided by the number of known entry hosts.
	FallbackFraction float64 `json:"fallback_fraction,omitempty"`
	// MaxRequests is the maximum number of requests in progress at this host.
	// Default 4,096.
	MaxRequests Count `json:"max_requests,omitempty"`
}

// Scheduler holds the settings of kingcup-scheduler.
type Scheduler struct {
	Common
	// JournalFlushMS is the minimum interval between two writes of a pool's
	// journal, in milliseconds. Default 10.
	JournalFlushMS Milliseconds `json:"journal_flush_ms,omitempty"`
	// Policy is the placement policy: kingcup, or for comparisons round_robin,
	// least_outstanding or prefix_affinity. Default kingcup.
	Policy string `json:"policy,omitempty"`
}

// Rollout holds the settings of kingcup-rollout.
type Rollout struct {
	Common
	// LeaseMS is the duration of a move's lease, in milliseconds. Default
	// 5,000.
	LeaseMS Milliseconds `json:"lease_ms,omitempty"`
}

// Zone is an availability zone and its region.
type Zone struct {
	// Name is the name of the availability zone.
	Name core.AvailabilityZone `json:"name"`
	// Region is the region that the zone is in.
	Region core.Region `json:"region"`
}

// Gateway holds the settings of kingcup-host.
type Gateway struct {
	// Host is the name of the entry host that the process runs on.
	Host string `json:"host"`
	// Region is the region of the host.
	Region core.Region `json:"region"`
	// AvailabilityZone is the availability zone of the host.
	AvailabilityZone core.AvailabilityZone `json:"availability_zone"`
	// Zones lists the availability zones of the deployment with their regions. Requests of
	// routes and client accounts that are restricted to regions go to endpoints in
	// these zones, and in the host's own, only.
	Zones []Zone `json:"zones,omitempty"`
	// Evacuations tells whether operators may order that an availability zone be
	// emptied. The host then follows these orders in the store, and is ready once it
	// knows them. Default false.
	Evacuations bool `json:"evacuations,omitempty"`
	// Callers is the listen address for requests from callers.
	Callers string `json:"callers"`
	// Readiness is the listen address for the load balancer's readiness
	// checks.
	Readiness string `json:"readiness"`
	// Peers is the listen address for other hosts and for metrics; other hosts
	// connect to the same address.
	Peers string `json:"peers"`
	// ProcessorShare is the share of a core that the process may use, and
	// ProcessorSpeed the speed of that core. Hosts with more processor time
	// coordinate the others. Default 1.
	ProcessorShare float64 `json:"processor_share,omitempty"`
	ProcessorSpeed float64 `json:"processor_speed,omitempty"`
	// MemoryMB is the memory that the process must not exceed, in MB. What all
	// callers together may hold follows from it. Default 1,024.
	MemoryMB Megabytes `json:"memory_mb,omitempty"`
	// MaxFiles is the number of descriptors that the process may have open. How many
	// connections it accepts follows from it. Default 4,096.
	MaxFiles Count `json:"max_files,omitempty"`
	// Store is the base URL of the platform's store.
	Store string `json:"store"`
	// WatchMS is how long a watch call to the store waits for a change, in
	// milliseconds. A watch whose connection went silent is detected within
	// this time plus StoreTimeoutMS. Default 1,500.
	WatchMS Milliseconds `json:"watch_ms,omitempty"`
	// StoreTimeoutMS is the timeout of a call to the store, in milliseconds.
	// Default 1,000.
	StoreTimeoutMS Milliseconds `json:"store_timeout_ms,omitempty"`
	// LimitOverage is the fraction of a client account's limit, and LimitSlack
	// the additional units, by which the account may exceed the limit in a
	// window of LimitWindowS seconds before the operator counts it as exceeded.
	LimitOverage float64 `json:"limit_overage"`
	LimitSlack   float64 `json:"limit_slack"`
	LimitWindowS Seconds `json:"limit_window_s,omitempty"`
	// LimitWindowMS is LimitWindowS in milliseconds. Only one of them may be given.
	LimitWindowMS Milliseconds `json:"limit_window_ms,omitempty"`
	// RepeatShare is the retry budget of all hosts together, as retries per
	// request of a service, and RepeatBurst the number of additional retries in
	// the operator's window. A host uses half of both, so that a change in the
	// number of hosts never exceeds them.
	RepeatShare float64 `json:"repeat_share"`
	RepeatBurst float64 `json:"repeat_burst"`
	// WaitShares is, by tier from the most important one, the share of its latency
	// objective that a request may be predicted to wait at an engine, from 0 to 1.
	// Above that it is refused as not run. The last share holds for all further
	// tiers. Default 0.6 for all tiers.
	WaitShares []float64 `json:"wait_shares,omitempty"`
	// AccountShares lets requests of a client account that uses more than its share
	// of a service's endpoints wait shorter. The shares follow the accounts' limits.
	AccountShares bool `json:"account_shares,omitempty"`
	// ExposeShare is the maximum fraction of a service's requests that a
	// candidate version may receive, from 0 to 1, and ExposeFree the number of
	// requests that it may receive in addition.
	ExposeShare float64 `json:"expose_share"`
	ExposeFree  Count   `json:"expose_free"`
	// ZoneAwarePlacement keeps requests in the availability zone of their host
	// while its endpoints have room, and sends them to other zones by the room
	// there. Without it zones are not considered. All hosts need the same value.
	ZoneAwarePlacement bool `json:"zone_aware_placement,omitempty"`
	// ColdOverage and ColdSlack are the operator's tolerance for requests to cold
	// endpoints: in any second, all hosts together may send one its service's rate
	// times ColdOverage plus ColdSlack requests. Default 0, which means that cold
	// endpoints are not limited.
	ColdOverage float64 `json:"cold_overage,omitempty"`
	ColdSlack   float64 `json:"cold_slack,omitempty"`
	// GraceS is the time between SIGTERM and SIGKILL, in seconds.
	GraceS Seconds `json:"grace_s,omitempty"`
	// GraceMS is GraceS in milliseconds. One of them must be given.
	GraceMS Milliseconds `json:"grace_ms,omitempty"`
	// DrainDelayMS is the time after SIGTERM during which the process still
	// accepts connections while the load balancer sees it as unready, in
	// milliseconds. Default 2,500, as the load balancer stops sending
	// connections after two failed checks, one per second.
	DrainDelayMS Milliseconds `json:"drain_delay_ms,omitempty"`
	// Log configures the log output.
	Log Log `json:"log,omitzero"`
}

// Grace returns the time between SIGTERM and SIGKILL.
func (g *Gateway) Grace() time.Duration {
	return cmp.Or(g.GraceS.Duration(), g.GraceMS.Duration())
}

// LimitWindow returns the window in which the operator counts what an account uses,
// zero if it is not known.
func (g *Gateway) LimitWindow() time.Duration {
	return cmp.Or(g.LimitWindowS.Duration(), g.LimitWindowMS.Duration())
}
