package queue

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/placement"
	"kingcupcourse/internal/decision/trial"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/scheduler/inbox"
)

// observeVersion takes an outcome into the trials of unproved versions. A
// version found bad gets nothing more from this placement round on; the
// other hosts are told.
func (d *Duty) observeVersion(e *endpoint, o *core.Outcome, running int, now time.Time) {
	place := trial.EndpointState{Kind: d.pool.Kind, Running: running, Slots: e.Slots}
	for _, found := range d.trials.Observe(o, place, now) {
		if found.MoveDone {
			d.alarm(found)
			continue
		}
		badVersionsTotal.WithLabelValues(d.Shard.Pool).Inc()
		d.log.Error("version judged bad", foundFields(found)...)
		d.tellBad(found.BadVersion)
	}
}

// alarm tells operators of a fault in the version in force. There is no
// verdict: the version that it was moved from may be gone.
func (d *Duty) alarm(found trial.Finding) {
	lateFaultsTotal.WithLabelValues(d.Shard.Pool).Inc()
	d.log.Error("version found bad after its move was done; it stays in force", foundFields(found)...)
}

func foundFields(found trial.Finding) []zap.Field {
	return []zap.Field{zap.String("move", found.Move), zap.String("version", string(found.Version)),
		zap.String("route", found.Route), zap.String("reason", found.Reason)}
}

// tellBad tells all hosts a verdict, or keeps it for the next tick.
func (d *Duty) tellBad(bad message.BadVersion) {
	value, err := json.Marshal(bad)
	if err != nil {
		return // a BadVersion always encodes
	}
	fact := control.BadVersionFact(bad.Pool+"/"+string(bad.Version), value)
	if err := d.Report(fact); err != nil {
		d.log.Warn("verdict not told yet", zap.String("version", string(bad.Version)), zap.Error(err))
		d.untold = append(d.untold, bad)
	}
}

func (d *Duty) tellUntold() {
	untold := d.untold
	d.untold = nil
	for _, bad := range untold {
		d.tellBad(bad)
	}
}

// evidence answers the holder of a move.
func (d *Duty) evidence(m inbox.Evidence, now time.Time) {
	if !d.owned {
		m.Send(message.EvidenceReply{Owner: d.next})
		return
	}
	m.Send(message.EvidenceReply{Evidence: d.trials.Evidence(m.Version, now)})
}

// bad tells whether an endpoint's version was judged bad, here or elsewhere.
func (d *Duty) bad(e *endpoint) bool {
	_, told := d.view.BadVersions[core.EndpointVersion{Pool: d.Shard.Pool, Version: e.version}]
	return told || d.trials.Bad(e.version)
}

// preference turns the interest of a trial into one of the placement.
func (d *Duty) preference(v core.Version, route string, now time.Time) placement.Preference {
	switch d.trials.Preference(v, route, now) {
	case trial.Preferred:
		return placement.Preferred
	case trial.Avoided:
		return placement.Avoided
	}
	return placement.NoPreference
}
