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

// Died tells that an endpoint died under a request.
type Died struct{ poison.Death }

func (m Died) handle(d *Duty, now time.Time) {
	d.marks.RecordDeath(m.Fingerprint, m.Endpoint, now)
	if len(d.deaths) < maxDeaths {
		d.deaths = append(d.deaths, m.Death)
	}
}

// Suspect asks whether a request is taken for the cause of its endpoints'
// deaths.
type Suspect struct {
	ring.Reply[bool]
	Fingerprint string
}

func (m Suspect) handle(d *Duty, now time.Time) { m.Send(d.marks.Poisonous(m.Fingerprint, now)) }

// FinishedWell tells that a request ran well, which clears its fingerprint.
type FinishedWell struct{ Fingerprint string }

func (m FinishedWell) handle(d *Duty, _ time.Time) { d.marks.Clear(m.Fingerprint) }

// collect asks for what was used.
type collect struct{ ring.Reply[fleet.Collected] }

func (m collect) handle(d *Duty, _ time.Time) {
	d.sent = len(d.deaths)
	m.Send(fleet.Collected{Uses: d.share.Report(), Deaths: d.deaths[:d.sent:d.sent]})
}

// grant hands the answer to the last report on.
type grant struct{ fleet.Granted }

func (m grant) handle(d *Duty, now time.Time) {
	d.share.ApplyGrants(m.Grants, now)
	d.keeper = m.Keeper
	d.repeats.setHosts(m.Hosts)
	for _, death := range m.Deaths {
		d.marks.RecordDeath(death.Fingerprint, death.Endpoint, now)
	}
	d.deaths, d.sent = d.deaths[d.sent:], 0
}

// Collect implements fleet.Admission.
func (d *Duty) Collect(ctx context.Context) (fleet.Collected, error) {
	m := collect{Reply: ring.NewReply[fleet.Collected]()}
	if err := d.inbox.Put(ctx, m); err != nil {
		return fleet.Collected{}, err
	}
	return m.Wait(ctx)
}

// Grant implements fleet.Admission.
func (d *Duty) Grant(ctx context.Context, granted fleet.Granted) error {
	return d.inbox.Put(ctx, grant{Granted: granted})
}
