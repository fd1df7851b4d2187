package admission

import (
	"context"
	"time"

	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/gateway/fleet"
	"kingcupcourse/internal/ring"
)

// maxUnreportedEvidence bounds the evidence queued for the next report.
const maxUnreportedEvidence = 256

// EndpointDied reports that an endpoint died while it ran a request.
type EndpointDied struct{ poison.Evidence }

func (m EndpointDied) handle(d *Duty, now time.Time) { d.addEvidence(m.Evidence, now) }

// addEvidence records what this host has observed, and keeps it for the next report.
func (d *Duty) addEvidence(e poison.Evidence, now time.Time) {
	d.recordEvidence(e, originHost, now)
	if len(d.unreportedEvidence) < maxUnreportedEvidence {
		d.unreportedEvidence = append(d.unreportedEvidence, poison.Dated{Evidence: e, Got: now})
	}
}

// CheckPoison asks whether a request is considered the cause of endpoint deaths.
type CheckPoison struct {
	ring.Reply[bool]
	Fingerprint string
	// Parts are the parts of its prompt that other requests may share.
	Parts []string
}

func (m CheckPoison) handle(d *Duty, now time.Time) {
	m.Send(d.poisonMarks.Poisonous(m.Fingerprint, m.Parts, now))
}

// Answered reports that an endpoint has answered a prompt with the parts. Other hosts
// learn of it if one of the parts is suspected.
type Answered struct{ Parts []string }

func (m Answered) handle(d *Duty, now time.Time) {
	if suspects := d.poisonMarks.Suspects(m.Parts); len(suspects) > 0 {
		d.addEvidence(poison.Evidence{Parts: suspects}, now)
	}
	d.recordEvidence(poison.Evidence{Parts: m.Parts}, originHost, now)
}

// Succeeded reports that a request succeeded, which clears its fingerprint.
type Succeeded struct{ Fingerprint string }

func (m Succeeded) handle(d *Duty, _ time.Time) { d.poisonMarks.ClearRequest(m.Fingerprint) }

// Refund gives back the units that were charged for a request that was not run.
type Refund struct {
	Account string
	Units   float64
}

func (m Refund) handle(d *Duty, _ time.Time) { d.share.Refund(m.Account, m.Units) }

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
// limits: the usage, and in shard 0 the evidence.
type collectUsage struct {
	ring.Reply[fleet.Usage]
	fleet.LimitShard
}

func (m collectUsage) handle(d *Duty, now time.Time) {
	usage := fleet.Usage{Uses: d.share.Report(m.Holds)}
	if m.Shard == 0 {
		d.evidenceInReport = len(d.unreportedEvidence)
		usage.Evidence = poison.AllAged(d.unreportedEvidence, now)
	}
	m.Send(usage)
}

// applyResult delivers the response to the last report.
type applyResult struct{ fleet.ReportResult }

func (m applyResult) handle(d *Duty, now time.Time) {
	d.share.ApplyGrants(m.Grants, now)
	d.coordinators.set(m.LimitShard, m.Coordinator)
	defer d.releaseWaiting(now)
	if m.Shard != 0 {
		return
	}
	d.retries.setHosts(m.Hosts)
	for _, e := range m.Evidence {
		d.recordEvidence(e, originPeer, now)
	}
	if m.Coordinator == "" { // one host writes for all
		d.storeRefusals(now)
	}
	d.unreportedEvidence, d.evidenceInReport = d.unreportedEvidence[d.evidenceInReport:], 0
	if m.EvidenceListID != d.evidenceListID { // a new list lacks what this host knows
		d.evidenceListID = m.EvidenceListID
		for _, e := range d.poisonMarks.Deaths(now) {
			d.unreportedEvidence = append(d.unreportedEvidence, poison.Dated{Evidence: e, Got: now})
		}
	}
}

// CollectUsage implements fleet.Admission.
func (d *Duty) CollectUsage(ctx context.Context, shard fleet.LimitShard) (fleet.Usage, error) {
	m := collectUsage{Reply: ring.NewReply[fleet.Usage](), LimitShard: shard}
	if err := d.inbox.Put(ctx, m); err != nil {
		return fleet.Usage{}, err
	}
	return m.Wait(ctx)
}

// ApplyReport implements fleet.Admission.
func (d *Duty) ApplyReport(ctx context.Context, result fleet.ReportResult) error {
	return d.inbox.Put(ctx, applyResult{ReportResult: result})
}
