// Package fleet joins the hosts of a fleet: each registers itself in the
// platform's store, and reports to one of them, the keeper of the ledger, what
// it let in of the limits that all hosts hold together.
package fleet

import (
	"time"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/decision/quota"
	"kingcupcourse/internal/ring"
)

// The paths where a host takes the reports and wants of others.
const (
	reportPath = "/v1/fleet/report"
	wantPath   = "/v1/fleet/want"
)

// HostsPrefix is where the hosts register in the platform's store.
const HostsPrefix = "kingcup-hosts"

// host is a host's own entry in the store.
type host struct {
	// Address is the peers' listener.
	Address string `json:"address"`
}

// Report is what a host tells the keeper of the ledger.
type Report struct {
	Host string                 `json:"host"`
	Uses map[string]quota.Usage `json:"uses"`
	// Deaths are the endpoints that died under requests here.
	Deaths []poison.Death `json:"deaths,omitempty"`
	// KnownDeaths is how many deaths of the keeper's list the host has.
	KnownDeaths int `json:"known_deaths"`
	// DeathListID names the run of the keeper that KnownDeaths is about.
	DeathListID string `json:"list,omitempty"`
}

// ReportResponse is what the host gets.
type ReportResponse struct {
	Grants map[string]quota.Grant `json:"grants"`
	// Deaths are those of all hosts that the reporting one did not have.
	Deaths      []poison.Death `json:"deaths,omitempty"`
	KnownDeaths int            `json:"known_deaths"`
	DeathListID string         `json:"list"`
}

// Usage is what admission has used since the last report.
type Usage struct {
	Uses   map[string]quota.Usage
	Deaths []poison.Death
}

// ReportResult is what admission gets from an answer.
type ReportResult struct {
	Grants map[string]quota.Grant
	Deaths []poison.Death
	// Hosts is how many hosts the fleet has.
	Hosts int
	// Coordinator is the address of the host that keeps the ledger, empty for this
	// one.
	Coordinator string
}

// AcquireRequest asks the keeper of the ledger to let one request in.
type AcquireRequest struct {
	Account string  `json:"account"`
	Units   float64 `json:"units"`
	// Coordinator is the address that is asked, empty for this host.
	Coordinator string `json:"-"`
}

// AcquireResponse is the keeper's answer.
type AcquireResponse struct {
	Allowed bool `json:"allowed"`
	// RetryAfterMS is when a refused request may come back, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Message is a message to the duty that keeps the ledger.
type Message interface {
	handle(l *ledger, now time.Time)
}

// Tolerance is by how much an account may exceed its limit before the operator
// counts it as exceeded: a share of the limit, and so many units in a window.
type Tolerance struct {
	Share  float64
	Units  float64
	Window time.Duration
}

// usedTolerance is the share of the tolerance that the hosts use, so that the
// delay of their reports refuses nothing within the limit. The rest covers
// what they let in too much.
const usedTolerance = 0.4

// Limits returns the limits of a configuration by account, as the hosts hold
// them.
func Limits(configuration *catalog.Configuration, tolerance Tolerance) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	if configuration == nil {
		return limits
	}
	factor, extra := 1+usedTolerance*tolerance.Share, 0.0
	if tolerance.Window > 0 {
		extra = usedTolerance * tolerance.Units / tolerance.Window.Seconds()
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

// reported is a report on its way to the duty that keeps the ledger.
type reported struct {
	ring.Reply[ReportResponse]
	report Report
}

// wanted is a want on its way there.
type wanted struct {
	ring.Reply[AcquireResponse]
	want AcquireRequest
}
