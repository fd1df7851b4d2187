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

// observeTrials adds an outcome to the trials of candidate versions. A version
// that is found bad gets no more requests, starting with this placement round,
// and the verdict is sent to the other hosts.
func (d *Duty) observeTrials(e *endpoint, o *core.Outcome, running int, now time.Time) {
	state := trial.EndpointState{Kind: d.pool.Kind, Running: running, Slots: e.Slots}
	for _, finding := range d.trials.Observe(o, state, now) {
		if finding.MoveDone {
			d.reportLateFault(finding)
			continue
		}
		badVersionsTotal.WithLabelValues(d.Shard.Pool).Inc()
		d.log.Error("version judged bad", findingFields(finding)...)
		d.publishVerdict(finding.BadVersion)
	}
}

// reportLateFault alerts operators to a fault of a version whose move is done.
// It publishes no verdict, since the previous version may no longer be
// available.
func (d *Duty) reportLateFault(finding trial.Finding) {
	lateFaultsTotal.WithLabelValues(d.Shard.Pool).Inc()
	d.log.Error("version found bad after its move was done; it stays in force", findingFields(finding)...)
}

func findingFields(finding trial.Finding) []zap.Field {
	return []zap.Field{zap.String("move", finding.Move), zap.String("version", string(finding.Version)),
		zap.String("route", finding.Route), zap.String("reason", finding.Reason)}
}

// publishVerdict sends a verdict to all hosts, or keeps it for the next tick.
func (d *Duty) publishVerdict(bad message.BadVersion) {
	value, err := json.Marshal(bad)
	if err != nil {
		return // cannot happen: a BadVersion is always encodable
	}
	fact := control.BadVersionFact(bad.Pool+"/"+string(bad.Version), value)
	if err := d.PublishFact(fact); err != nil {
		d.log.Warn("failed to publish verdict, will retry", zap.String("version", string(bad.Version)), zap.Error(err))
		d.verdictBacklog = append(d.verdictBacklog, bad)
	}
}

func (d *Duty) sendVerdictBacklog() {
	unsent := d.verdictBacklog
	d.verdictBacklog = nil
	for _, bad := range unsent {
		d.publishVerdict(bad)
	}
}

// sendEvidence replies to the mover that holds a move's lease.
func (d *Duty) sendEvidence(m inbox.QueryEvidence, now time.Time) {
	if !d.owned {
		m.Send(message.EvidenceReply{Owner: d.ownerAddress})
		return
	}
	m.Send(message.EvidenceReply{Evidence: d.trials.Evidence(m.Version, now)})
}

// isBadVersion reports whether an endpoint's version was judged bad, by this or
// another scheduler.
func (d *Duty) isBadVersion(e *endpoint) bool {
	_, published := d.view.BadVersions[core.EndpointVersion{Pool: d.Shard.Pool, Version: e.version}]
	return published || d.trials.Bad(e.version)
}

// preference converts the preference of a trial to that of the placement.
func (d *Duty) preference(v core.Version, route string, now time.Time) placement.Preference {
	switch d.trials.Preference(v, route, now) {
	case trial.Preferred:
		return placement.Preferred
	case trial.Avoided:
		return placement.Avoided
	}
	return placement.NoPreference
}
