package admission

import (
	"context"
	"time"

	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/gateway/fleet"
	"kingcupcourse/internal/ring"
)

// maxUnreportedDeaths bounds the endpoint deaths queued for the next report.
const maxUnreportedDeaths = 256

// EndpointDied reports that an endpoint died while it ran a request.
type EndpointDied struct{ poison.Death }

func (m EndpointDied) handle(d *Duty, now time.Time) {
	d.poisonMarks.RecordDeath(m.Fingerprint, m.Endpoint, now)
	if len(d.unreportedDeaths) < maxUnreportedDeaths {
		d.unreportedDeaths = append(d.unreportedDeaths, m.Death)
	}
}

// CheckPoison asks whether a request is considered the cause of endpoint deaths.
type CheckPoison struct {
	ring.Reply[bool]
	Fingerprint string
}

func (m CheckPoison) handle(d *Duty, now time.Time) {
	m.Send(d.poisonMarks.Poisonous(m.Fingerprint, now))
}

// Succeeded reports that a request succeeded, which clears its fingerprint.
type Succeeded struct{ Fingerprint string }

func (m Succeeded) handle(d *Duty, _ time.Time) { d.poisonMarks.Clear(m.Fingerprint) }

// AdmitAlone asks whether a request is admitted although the coordinator did not
// answer whether its account's limit allows it.
type AdmitAlone struct {
	ring.Reply[bool]
	Account string
	Units   float64
}

func (m AdmitAlone) handle(d *Duty, now time.Time) {
	limit, limited := d.limits[m.Account]
	m.Send(!limited || d.share.AdmitAlone(m.Account, limit, m.Units, now))
}

// collectUsage asks for what to report to the coordinator of a shard of the
// limits: the usage, and in shard 0 the deaths.
type collectUsage struct {
	ring.Reply[fleet.Usage]
	shard, shards int
}

func (m collectUsage) handle(d *Duty, _ time.Time) {
	usage := fleet.Usage{Uses: d.share.Report(func(account string) bool {
		return fleet.ShardOfAccount(account, m.shards) == m.shard
	})}
	if m.shard == 0 {
		d.deathsInReport = len(d.unreportedDeaths)
		usage.Deaths = d.unreportedDeaths[:d.deathsInReport:d.deathsInReport]
	}
	m.Send(usage)
}

// applyResult delivers the response to the last report.
type applyResult struct{ fleet.ReportResult }

func (m applyResult) handle(d *Duty, now time.Time) {
	d.share.ApplyGrants(m.Grants, now)
	d.coordinators[m.Shard] = m.Coordinator
	defer d.releaseWaiting(now)
	if m.Shard != 0 {
		return
	}
	d.limitShards = m.Shards
	d.retries.setHosts(m.Hosts)
	for _, death := range m.Deaths {
		d.poisonMarks.RecordDeath(death.Fingerprint, death.Endpoint, now)
	}
	d.unreportedDeaths, d.deathsInReport = d.unreportedDeaths[d.deathsInReport:], 0
}

// CollectUsage implements fleet.Admission.
func (d *Duty) CollectUsage(ctx context.Context, shard, shards int) (fleet.Usage, error) {
	m := collectUsage{Reply: ring.NewReply[fleet.Usage](), shard: shard, shards: shards}
	if err := d.inbox.Put(ctx, m); err != nil {
		return fleet.Usage{}, err
	}
	return m.Wait(ctx)
}

// ApplyReport implements fleet.Admission.
func (d *Duty) ApplyReport(ctx context.Context, result fleet.ReportResult) error {
	return d.inbox.Put(ctx, applyResult{ReportResult: result})
}
