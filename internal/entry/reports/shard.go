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
	// maxUnsentOutcomes bounds the outcomes that wait for one shard's owner.
	maxUnsentOutcomes = 8192
	// maxOutcomesPerReport bounds the outcomes of one report.
	maxOutcomesPerReport = 512
	// lostReportTimeout is when a report is given up whose sender crashed.
	lostReportTimeout = 5 * reportTimeout
)

// pendingOutcome is an outcome that no owner has acknowledged.
type pendingOutcome struct {
	outcome      core.Outcome
	keepUntil    time.Time
	acknowledged ring.Reply[struct{}]
}

// shardState is what is known of one shard: what runs, what is unsent, and
// whom to tell.
type shardState struct {
	shard   ownership.Shard
	running map[string]message.RunningRequest // by attempt
	unsent  []pendingOutcome
	// inFlight is how many of the unsent are in the report on its way.
	inFlight int
	// sequence numbers the reports; sentAt is when the one on its way left,
	// zero if there is none.
	sequence uint64
	sentAt   time.Time
	// nextFull is when the next nextFull report is due.
	nextFull time.Time
	// retryAt is when a failed report may be sent again.
	retryAt time.Time
	// owner is the address that an ack named, empty for the first in rank.
	owner string
	// failures counts the reports in a row that found no owner.
	failures int
}

func newShardState(shard ownership.Shard) *shardState {
	return &shardState{shard: shard, running: map[string]message.RunningRequest{}}
}

// addOutcome moves an attempt from the running to the unsent.
func (s *shardState) addOutcome(m AttemptEnded) {
	delete(s.running, m.Outcome.Attempt)
	if len(s.unsent) >= maxUnsentOutcomes {
		s.evictOutcome()
	}
	s.unsent = append(s.unsent, pendingOutcome{m.Outcome, m.KeepUntil, m.Acknowledged})
}

// evictOutcome makes room: the oldest outcome without a key goes first, for only
// keyed ones are needed for correctness. Those in flight stay.
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

// isDue tells whether a report should leave now.
func (s *shardState) isDue(now time.Time) bool {
	return !now.Before(s.nextReportTime())
}

// nextReportTime returns when a report is due by itself. A zero time is due at once.
func (s *shardState) nextReportTime() time.Time {
	switch {
	case !s.sentAt.IsZero():
		return s.sentAt.Add(lostReportTimeout)
	case len(s.unsent) > 0 || s.nextFull.Before(s.retryAt):
		return s.retryAt
	}
	return s.nextFull
}

// targetAddress returns the scheduler to tell: the one that an ack named, or the
// next in rank after each failure.
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

// buildReport builds the next buildReport and marks its outcomes as in flight.
func (s *shardState) buildReport(host string, config uint64, now time.Time) message.OutcomeReport {
	s.dropExpired(now)
	s.inFlight = min(len(s.unsent), maxOutcomesPerReport)
	s.sequence++
	s.sentAt = now
	report := message.OutcomeReport{Host: host, Pool: s.shard.Pool, ConfigVersion: config}
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

// dropExpired drops the outcomes that no one needs any more.
func (s *shardState) dropExpired(now time.Time) {
	s.unsent = slices.DeleteFunc(s.unsent, func(u pendingOutcome) bool { return now.After(u.keepUntil) })
}

// handleAck forgets what the owner has taken.
func (s *shardState) handleAck() {
	for _, u := range s.unsent[:s.inFlight] {
		u.acknowledged.Send(struct{}{})
	}
	s.unsent = slices.Delete(s.unsent, 0, s.inFlight)
	s.inFlight, s.failures = 0, 0
	s.sentAt, s.retryAt = time.Time{}, time.Time{}
}

// handleRedirect remembers the owner that a scheduler named.
func (s *shardState) handleRedirect(owner string, now time.Time) {
	s.handleFailure(now)
	s.owner = owner
	if s.failures == 1 {
		s.retryAt = now
	}
}

// handleFailure lets the report be sent again after a pause, to the next in rank.
func (s *shardState) handleFailure(now time.Time) {
	s.inFlight, s.owner, s.sentAt = 0, "", time.Time{}
	s.failures++
	s.nextFull = now
	s.retryAt = now.Add(retryInterval)
}
