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
	// maxUnsent bounds the outcomes that wait for one shard's owner.
	maxUnsent = 8192
	// maxBatch bounds the outcomes of one report.
	maxBatch = 512
	// lostAfter is when a report is given up whose sender crashed.
	lostAfter = 5 * sendTimeout
)

// unsent is an outcome that no owner has acknowledged.
type unsent struct {
	outcome      core.Outcome
	keepUntil    time.Time
	acknowledged ring.Reply[struct{}]
}

// shardState is what is known of one shard: what runs, what is unsent, and
// whom to tell.
type shardState struct {
	shard   ownership.Shard
	running map[string]message.RunningRequest // by attempt
	unsent  []unsent
	// inFlight is how many of the unsent are in the report on its way.
	inFlight int
	// sequence numbers the reports; sentAt is when the one on its way left,
	// zero if there is none.
	sequence uint64
	sentAt   time.Time
	// full is when the next full report is due.
	full time.Time
	// retry is when a failed report may be sent again.
	retry time.Time
	// owner is the address that an ack named, empty for the first in rank.
	owner string
	// failures counts the reports in a row that found no owner.
	failures int
}

func newShardState(shard ownership.Shard) *shardState {
	return &shardState{shard: shard, running: map[string]message.RunningRequest{}}
}

// end moves an attempt from the running to the unsent.
func (s *shardState) end(m Ended) {
	delete(s.running, m.Outcome.Attempt)
	if len(s.unsent) >= maxUnsent {
		s.dropOne()
	}
	s.unsent = append(s.unsent, unsent{m.Outcome, m.KeepUntil, m.Acknowledged})
}

// dropOne makes room: the oldest outcome without a key goes first, for only
// keyed ones are needed for correctness. Those in flight stay.
func (s *shardState) dropOne() {
	droppedTotal.Inc()
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

// due tells whether a report should leave now.
func (s *shardState) due(now time.Time) bool {
	return !now.Before(s.next())
}

// next returns when a report is due by itself. A zero time is due at once.
func (s *shardState) next() time.Time {
	switch {
	case !s.sentAt.IsZero():
		return s.sentAt.Add(lostAfter)
	case len(s.unsent) > 0 || s.full.Before(s.retry):
		return s.retry
	}
	return s.full
}

// address returns the scheduler to tell: the one that an ack named, or the
// next in rank after each failure.
func (s *shardState) address(members []message.Member) string {
	if s.owner != "" {
		return s.owner
	}
	ranked := ownership.RankSchedulers(s.shard, members)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[s.failures%len(ranked)].Address
}

// report builds the next report and marks its outcomes as in flight.
func (s *shardState) report(host string, config uint64, now time.Time) message.OutcomeReport {
	s.expire(now)
	s.inFlight = min(len(s.unsent), maxBatch)
	s.sequence++
	s.sentAt = now
	report := message.OutcomeReport{Host: host, Pool: s.shard.Pool, ConfigVersion: config}
	for _, u := range s.unsent[:s.inFlight] {
		report.Outcomes = append(report.Outcomes, u.outcome)
	}
	if !now.Before(s.full) {
		report.Full = true
		s.full = now.Add(heartbeatInterval)
		for _, running := range s.running {
			report.Running = append(report.Running, running)
		}
	}
	return report
}

// expire drops the outcomes that no one needs any more.
func (s *shardState) expire(now time.Time) {
	s.unsent = slices.DeleteFunc(s.unsent, func(u unsent) bool { return now.After(u.keepUntil) })
}

// acknowledged forgets what the owner has taken.
func (s *shardState) acknowledged() {
	for _, u := range s.unsent[:s.inFlight] {
		u.acknowledged.Send(struct{}{})
	}
	s.unsent = slices.Delete(s.unsent, 0, s.inFlight)
	s.inFlight, s.failures = 0, 0
	s.sentAt, s.retry = time.Time{}, time.Time{}
}

// redirected remembers the owner that a scheduler named.
func (s *shardState) redirected(owner string, now time.Time) {
	s.failed(now)
	s.owner = owner
	if s.failures == 1 {
		s.retry = now
	}
}

// failed lets the report be sent again after a pause, to the next in rank.
func (s *shardState) failed(now time.Time) {
	s.inFlight, s.owner, s.sentAt = 0, "", time.Time{}
	s.failures++
	s.full = now
	s.retry = now.Add(retryInterval)
}
