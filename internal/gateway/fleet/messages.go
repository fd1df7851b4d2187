// Package fleet coordinates the hosts of a fleet. Each host registers itself in
// the platform's store. The limits that all hosts share are divided into shards
// by account; each host reports its usage of a shard to one host, the shard's
// coordinator, which keeps the ledger. The coordinator of shard 0 also collects
// what has to be known in one place: the deaths of endpoints, and the outcomes
// that prove the version of a move.
package fleet

import (
	"math"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/fleet"
	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/decision/quota"
	"kingcupcourse/internal/gateway/moves"
	"kingcupcourse/internal/ring"
)

// Paths that serve the reports and quota requests of other hosts.
const (
	reportPath  = "/v1/fleet/report"
	acquirePath = "/v1/fleet/want"
)

// HostsPrefix is the key prefix of the hosts' entries in the platform's store.
const HostsPrefix = "kingcup-hosts"

// hostEntry is a host's entry in the store.
type hostEntry struct {
	// Address is the address of the peer listener.
	Address string `json:"address"`
	// Processor is the processor time that the host may use, in cores.
	Processor        float64               `json:"processor,omitempty"`
	AvailabilityZone core.AvailabilityZone `json:"availability_zone,omitempty"`
}

func (e hostEntry) host(name string) fleet.Host {
	return fleet.Host{Name: name, Address: e.Address, Processor: e.Processor, AvailabilityZone: e.AvailabilityZone}
}

// Report is a host's usage report to the coordinator of a shard of the limits.
// The reports of shard 0 also carry evidence about requests and outcomes.
type Report struct {
	Host string `json:"host"`
	LimitShard
	Uses map[string]quota.Usage `json:"uses"`
	// Elapsed is the time that the report covers: since the host's previous report of
	// the shard to any host.
	Elapsed time.Duration `json:"elapsed_ns,omitempty"`
	// Evidence is what this host has observed of requests under which endpoints died.
	Evidence []poison.Evidence `json:"deaths,omitempty"`
	// KnownEvidence is how many entries of the coordinator's list the host has
	// received.
	KnownEvidence int `json:"known_deaths"`
	// EvidenceListID identifies the list that KnownEvidence refers to; each run
	// of a process has its own.
	EvidenceListID string `json:"list,omitempty"`
	// Outcomes are outcomes of requests for services that are being moved, which
	// the host placed for others.
	Outcomes []moves.Outcome `json:"outcomes,omitempty"`
}

// ReportResponse is the coordinator's response to a report.
type ReportResponse struct {
	Grants map[string]quota.Grant `json:"grants"`
	// Evidence is the evidence of all hosts that the reporting host has not received
	// yet.
	Evidence       []poison.Evidence `json:"deaths,omitempty"`
	KnownEvidence  int               `json:"known_deaths"`
	EvidenceListID string            `json:"list"`
	// Moves holds the constraints of the moves that the coordinator holds, by
	// service.
	Moves map[string]moves.Constraints `json:"moves,omitempty"`
}

// Usage is the usage and the evidence since the last report.
type Usage struct {
	Uses     map[string]quota.Usage
	Evidence []poison.Evidence
}

// ReportResult is the result of a report for the admission duty.
type ReportResult struct {
	// LimitShard is the shard of the limits that was reported.
	LimitShard
	Grants   map[string]quota.Grant
	Evidence []poison.Evidence
	// EvidenceListID identifies the list that the evidence is from.
	EvidenceListID string
	// Hosts is the number of hosts in the fleet.
	Hosts int
	// Coordinator is the address of the host that keeps the shard's ledger, empty
	// for this host.
	Coordinator string
}

// AcquireRequest asks the coordinator of a shard for the quota of one request.
type AcquireRequest struct {
	LimitShard
	Account string  `json:"account"`
	Units   float64 `json:"units"`
	// Limit is the account's limit that this host enforces, by the configuration of
	// ConfigVersion. The coordinator may have another configuration.
	Limit         quota.Limit `json:"limit"`
	ConfigVersion uint64      `json:"config_version,omitempty"`
	// Coordinator is the address to send the request to, empty for this host.
	Coordinator string `json:"-"`
}

// AcquireResponse is the coordinator's response to an AcquireRequest.
type AcquireResponse struct {
	Allowed bool `json:"allowed"`
	// RetryAfterMS is the retry delay for a refused request, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Message is a message to the ledger duty.
type Message interface {
	handle(l *ledger, now time.Time)
}

// Tolerance is the amount by which an account may exceed its limit before the
// operator considers it violated: a share of the limit plus a number of units
// per window.
type Tolerance struct {
	Share  float64
	Units  float64
	Window time.Duration
}

// usedToleranceShare is the share of the tolerance that the hosts add to the
// limits, so that delayed reports cause no refusals within the limit. The rest
// covers requests that the hosts admit in excess.
const usedToleranceShare = 0.4

// maxLimitShards bounds the number of ledgers, as each host reports to all of
// them.
const maxLimitShards = 16

// limitShards returns the number of shards of the limits in a fleet.
func limitShards(hosts int) int { return min(maxLimitShards, fleet.ShardCount(hosts, math.MaxInt)) }

// ShardOfAccount returns the shard of an account's limit.
func ShardOfAccount(account string, shards int) int { return fleet.ShardOf(account, shards) }

// LimitShard names a shard of the limits together with the division that it belongs
// to. Hosts with different lists of hosts may divide the limits differently, and the
// same number then stands for other accounts.
type LimitShard struct {
	Shard int `json:"shard,omitempty"`
	// Shards is the number of shards of the division.
	Shards int `json:"shards,omitempty"`
}

// Holds reports whether the account's limit is in the shard.
func (s LimitShard) Holds(account string) bool { return ShardOfAccount(account, s.Shards) == s.Shard }

// valid reports whether some number of hosts leads to the shard.
func (s LimitShard) valid() bool {
	return 0 <= s.Shard && s.Shard < s.Shards && s.Shards <= maxLimitShards
}

// Limits returns the limits that the hosts enforce for a configuration, by
// account.
func Limits(configuration *catalog.Configuration, tolerance Tolerance) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	if configuration == nil {
		return limits
	}
	factor, extra := 1+usedToleranceShare*tolerance.Share, 0.0
	if tolerance.Window > 0 {
		extra = usedToleranceShare * tolerance.Units / tolerance.Window.Seconds()
	}
	for _, account := range configuration.Accounts {
		if account.Rate > 0 {
			limits[account.Name] = quota.Limit{
				Rate: factor*account.Rate + extra, Burst: factor * account.Burst,
			}
		}
	}
	return limits
}

// reportMessage carries a report to the ledger duty.
type reportMessage struct {
	ring.Reply[ReportResponse]
	report Report
}

// acquireMessage carries a quota request to the ledger duty.
type acquireMessage struct {
	ring.Reply[AcquireResponse]
	request AcquireRequest
}
