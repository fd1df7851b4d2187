package reports

import (
	"slices"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

const (
	// maxUnsentOutcomes bounds the unacknowledged outcomes of a shard.
	maxUnsentOutcomes = 8192
	// maxOutcomesPerReport bounds the outcomes of one report.
	maxOutcomesPerReport = 512
	// lostReportTimeout is the time after which a report without a result is
	// considered lost, which happens if its sender crashed.
	lostReportTimeout = 5 * reportTimeout
)

// pendingOutcome is an outcome that no owner has acknowledged.
type pendingOutcome struct {
	outcome      core.Outcome
	keepUntil    time.Time
	acknowledged ring.Reply[struct{}]
}

// shardState is the state of one shard: its running attempts, its
// unacknowledged outcomes, and the scheduler to report to.
type shardState struct {
	shard   ownership.Shard
	running map[string]message.RunningRequest // by attempt
	unsent  []pendingOutcome
	// inFlight is how many of the unsent outcomes are in the report in flight.
	inFlight int
	// sequence numbers the reports; sentAt is when the report in flight was
	// sent, zero if there is none.
	sequence uint64
	sentAt   time.Time
	// nextFull is when the next full report is due.
	nextFull time.Time
	// retryAt is when a failed report may be sent again.
	retryAt time.Time
	// owner is the address named by an acknowledgement; if empty, the ranking
	// decides.
	owner string
	// failures counts consecutive reports that reached no owner.
	failures int
}

func newShardState(shard ownership.Shard) *shardState {
	return &shardState{shard: shard, running: map[string]message.RunningRequest{}}
}

// addOutcome removes an attempt from the running ones and queues its outcome.
func (s *shardState) addOutcome(m AttemptEnded) {
	delete(s.running, m.Outcome.Attempt)
	if len(s.unsent) >= maxUnsentOutcomes {
		s.evictOutcome()
	}
	s.unsent = append(s.unsent, pendingOutcome{m.Outcome, m.KeepUntil, m.Acknowledged})
}

// evictOutcome drops one outcome to make room: the oldest without a key if
// there is one, because only outcomes with a key are needed for correctness.
// Outcomes in flight are kept.
func (s *shardState) evictOutcome() {
	outcomesDroppedTotal.Inc()
	at := s.inFlight
	for i := s.inFlight; i < len(s.unsent); i++ {
		if s.unsent[i].outcome.Key == "" {
			at = i
			break
		}
	}
	if at < len(s.unsent) {
		s.unsent = slices.Delete(s.unsent, at, at+1)
	}
}

// isDue reports whether a report should be sent now.
func (s *shardState) isDue(now time.Time) bool {
	return !now.Before(s.nextReportTime())
}

// nextReportTime returns when the next report is due. The zero time means at
// once.
func (s *shardState) nextReportTime() time.Time {
	switch {
	case !s.sentAt.IsZero():
		return s.sentAt.Add(lostReportTimeout)
	case len(s.unsent) > 0 || s.nextFull.Before(s.retryAt):
		return s.retryAt
	}
	return s.nextFull
}

// targetAddress returns the scheduler to report to: the owner named by an
// acknowledgement, or else the ranked schedulers in turn, advancing with each
// failure.
func (s *shardState) targetAddress(members []message.Member) string {
	if s.owner != "" {
		return s.owner
	}
	ranked := ownership.RankSchedulers(s.shard, members)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[s.failures%len(ranked)].Address
}

// buildReport builds the next report and marks its outcomes as in flight.
func (s *shardState) buildReport(host string, configVersion uint64, now time.Time) message.OutcomeReport {
	s.dropExpired(now)
	s.inFlight = min(len(s.unsent), maxOutcomesPerReport)
	s.sequence++
	s.sentAt = now
	report := message.OutcomeReport{Host: host, Pool: s.shard.Pool, ConfigVersion: configVersion}
	for _, u := range s.unsent[:s.inFlight] {
		report.Outcomes = append(report.Outcomes, u.outcome)
	}
	if !now.Before(s.nextFull) {
		report.Full = true
		s.nextFull = now.Add(heartbeatInterval)
		for _, running := range s.running {
			report.Running = append(report.Running, running)
		}
	}
	return report
}

// dropExpired drops the outcomes whose retention has ended.
func (s *shardState) dropExpired(now time.Time) {
	s.unsent = slices.DeleteFunc(s.unsent, func(u pendingOutcome) bool { return now.After(u.keepUntil) })
}

// handleAck removes the outcomes that the owner has acknowledged.
func (s *shardState) handleAck() {
	for _, u := range s.unsent[:s.inFlight] {
		u.acknowledged.Send(struct{}{})
	}
	s.unsent = slices.Delete(s.unsent, 0, s.inFlight)
	s.inFlight, s.failures = 0, 0
	s.sentAt, s.retryAt = time.Time{}, time.Time{}
}

// handleRedirect sets the owner that a scheduler named. The first redirect
// after a success is followed at once, later ones after a pause.
func (s *shardState) handleRedirect(owner string, now time.Time) {
	s.handleFailure(now)
	s.owner = owner
	if s.failures == 1 {
		s.retryAt = now
	}
}

// handleFailure schedules another report after a pause, to the next scheduler
// in rank.
func (s *shardState) handleFailure(now time.Time) {
	s.inFlight, s.owner, s.sentAt = 0, "", time.Time{}
	s.failures++
	s.nextFull = now
	s.retryAt = now.Add(retryInterval)
}
