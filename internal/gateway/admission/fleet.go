package admission

import (
	"context"
	"time"

	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/gateway/fleet"
	"kingcupcourse/internal/ring"
)

// maxDeaths bounds the deaths that wait to be reported.
const maxDeaths = 256

// EndpointDied tells that an endpoint died under a request.
type EndpointDied struct{ poison.Death }

func (m EndpointDied) handle(d *Duty, now time.Time) {
	d.marks.RecordDeath(m.Fingerprint, m.Endpoint, now)
	if len(d.deaths) < maxDeaths {
		d.deaths = append(d.deaths, m.Death)
	}
}

// CheckPoison asks whether a request is taken for the cause of its endpoints'
// deaths.
type CheckPoison struct {
	ring.Reply[bool]
	Fingerprint string
}

func (m CheckPoison) handle(d *Duty, now time.Time) { m.Send(d.marks.Poisonous(m.Fingerprint, now)) }

// Succeeded tells that a request ran well, which clears its fingerprint.
type Succeeded struct{ Fingerprint string }

func (m Succeeded) handle(d *Duty, _ time.Time) { d.marks.Clear(m.Fingerprint) }

// collect asks for what was used.
type collect struct{ ring.Reply[fleet.Usage] }

func (m collect) handle(d *Duty, _ time.Time) {
	d.sent = len(d.deaths)
	m.Send(fleet.Usage{Uses: d.share.Report(), Deaths: d.deaths[:d.sent:d.sent]})
}

// grant hands the answer to the last report on.
type grant struct{ fleet.ReportResult }

func (m grant) handle(d *Duty, now time.Time) {
	d.share.ApplyGrants(m.Grants, now)
	d.keeper = m.Coordinator
	d.repeats.setHosts(m.Hosts)
	for _, death := range m.Deaths {
		d.marks.RecordDeath(death.Fingerprint, death.Endpoint, now)
	}
	d.deaths, d.sent = d.deaths[d.sent:], 0
}

// CollectUsage implements fleet.Admission.
func (d *Duty) CollectUsage(ctx context.Context) (fleet.Usage, error) {
	m := collect{Reply: ring.NewReply[fleet.Usage]()}
	if err := d.inbox.Put(ctx, m); err != nil {
		return fleet.Usage{}, err
	}
	return m.Wait(ctx)
}

// ApplyReport implements fleet.Admission.
func (d *Duty) ApplyReport(ctx context.Context, granted fleet.ReportResult) error {
	return d.inbox.Put(ctx, grant{ReportResult: granted})
}
