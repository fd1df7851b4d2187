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

// observeTrials takes an outcome into the trials of unproved versions. A
// version found bad gets nothing more from this placement round on; the
// other hosts are told.
func (d *Duty) observeTrials(e *endpoint, o *core.Outcome, running int, now time.Time) {
	place := trial.EndpointState{Kind: d.pool.Kind, Running: running, Slots: e.Slots}
	for _, found := range d.trials.Observe(o, place, now) {
		if found.MoveDone {
			d.reportLateFault(found)
			continue
		}
		badVersionsTotal.WithLabelValues(d.Shard.Pool).Inc()
		d.log.Error("version judged bad", findingFields(found)...)
		d.publishVerdict(found.BadVersion)
	}
}

// reportLateFault tells operators of a fault in the version in force. There is no
// verdict: the version that it was moved from may be gone.
func (d *Duty) reportLateFault(found trial.Finding) {
	lateFaultsTotal.WithLabelValues(d.Shard.Pool).Inc()
	d.log.Error("version found bad after its move was done; it stays in force", findingFields(found)...)
}

func findingFields(found trial.Finding) []zap.Field {
	return []zap.Field{zap.String("move", found.Move), zap.String("version", string(found.Version)),
		zap.String("route", found.Route), zap.String("reason", found.Reason)}
}

// publishVerdict tells all hosts a verdict, or keeps it for the next tick.
func (d *Duty) publishVerdict(bad message.BadVersion) {
	value, err := json.Marshal(bad)
	if err != nil {
		return // a BadVersion always encodes
	}
	fact := control.BadVersionFact(bad.Pool+"/"+string(bad.Version), value)
	if err := d.PublishFact(fact); err != nil {
		d.log.Warn("verdict not told yet", zap.String("version", string(bad.Version)), zap.Error(err))
		d.verdictBacklog = append(d.verdictBacklog, bad)
	}
}

func (d *Duty) sendVerdictBacklog() {
	untold := d.verdictBacklog
	d.verdictBacklog = nil
	for _, bad := range untold {
		d.publishVerdict(bad)
	}
}

// answerEvidence answers the holder of a move.
func (d *Duty) answerEvidence(m inbox.QueryEvidence, now time.Time) {
	if !d.owned {
		m.Send(message.EvidenceReply{Owner: d.ownerAddress})
		return
	}
	m.Send(message.EvidenceReply{Evidence: d.trials.Evidence(m.Version, now)})
}

// isBadVersion tells whether an endpoint's version was judged isBadVersion, here or elsewhere.
func (d *Duty) isBadVersion(e *endpoint) bool {
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
