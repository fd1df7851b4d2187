package reports

import (
	"context"
	"errors"
	"time"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// heartbeatInterval is the time between full reports of a shard.
	heartbeatInterval = 500 * time.Millisecond
	// retryInterval is the wait after a report that reached no owner.
	retryInterval = 100 * time.Millisecond
	// flushTimeout bounds the flush of outcomes on stop.
	flushTimeout = 5 * time.Second
	// reporterRingCapacity bounds the messages that wait in the reporter's
	// ring.
	reporterRingCapacity = 4096
)

// Reporter is the duty that owns the running attempts and the unacknowledged
// outcomes.
type Reporter struct {
	config     Config
	inbox      Inbox
	senders    []*ring.Ring[sendRequest]
	view       *control.View
	shards     map[ownership.Shard]*shardState
	shardOrder []*shardState
	grantCalls map[string]map[string]context.CancelCauseFunc // by address and attempt
	// unansweredReports counts consecutive unanswered reports by address.
	unansweredReports map[string]int
}

// Config configures the duties.
type Config struct {
	Host string
	// Views delivers the newest view of the configuration and the shared state.
	Views control.Subscription
}

func newReporter(config Config, inbox Inbox, senders []*ring.Ring[sendRequest]) *Reporter {
	return &Reporter{
		config: config, inbox: inbox, senders: senders,
		shards:            map[ownership.Shard]*shardState{},
		grantCalls:        map[string]map[string]context.CancelCauseFunc{},
		unansweredReports: map[string]int{},
	}
}

// Serve implements supervisor.Duty. On stop it flushes the unacknowledged
// outcomes.
func (r *Reporter) Serve(ctx context.Context) error {
	err := ring.LoopUntil(ctx, r.inbox, r.handleMessage, r.nextReportTime, r.sendDue)
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), supervisor.ErrKilled) {
		r.flush(ctx)
	}
	return err
}

func (r *Reporter) handleMessage(m Message) error {
	m.handle(r, time.Now())
	return r.sendDue()
}

// nextReportTime returns when the next report is due.
func (r *Reporter) nextReportTime() time.Time {
	now := time.Now()
	first := now.Add(heartbeatInterval)
	if r.view == nil {
		return first
	}
	for _, s := range r.shardOrder {
		if due := s.nextReportTime(); due.Before(first) {
			first = due
		}
	}
	if first.IsZero() {
		return now
	}
	return first
}

// sendDue sends every report that is due.
func (r *Reporter) sendDue() error {
	r.updateView()
	if r.view == nil {
		return nil
	}
	now := time.Now()
	for i, s := range r.shardOrder {
		if s.isDue(now) {
			r.sendReport(s, r.senders[i%len(r.senders)], now)
		}
	}
	return nil
}

func (r *Reporter) sendReport(s *shardState, sender *ring.Ring[sendRequest], now time.Time) {
	address := s.targetAddress(r.view.Members)
	if address == "" || sender.Len() == sender.Cap() {
		s.retryAt = now.Add(retryInterval)
		return
	}
	report := s.buildReport(r.config.Host, r.view.ManifestVersion, now)
	if sender.TryPut(sendRequest{s.shard, s.sequence, address, report}) != nil {
		s.handleFailure(now)
	}
}

// updateView applies the newest view and adds the shards of its manifest.
func (r *Reporter) updateView() {
	view, ok := r.config.Views.TryTake()
	if !ok {
		return
	}
	r.view = view
	if view.Manifest == nil {
		return
	}
	for _, pool := range view.Manifest.Pools {
		for _, region := range view.Manifest.Regions {
			r.shardState(ownership.Shard{Pool: pool.Name, Region: region.Name})
		}
	}
}

func (r *Reporter) shardState(shard ownership.Shard) *shardState {
	s := r.shards[shard]
	if s == nil {
		s = newShardState(shard)
		r.shards[shard] = s
		r.shardOrder = append(r.shardOrder, s)
	}
	return s
}

// flush waits until every outcome is acknowledged, at most flushTimeout.
func (r *Reporter) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	for r.unsentCount() > 0 || r.inbox.Len() > 0 {
		_ = r.sendDue()
		m, err := r.inbox.TakeUntil(ctx, r.nextReportTime())
		switch {
		case err == nil:
			m.handle(r, time.Now())
		case !errors.Is(err, ring.ErrTimeout):
			return
		}
	}
}

func (r *Reporter) unsentCount() (count int) {
	for _, s := range r.shardOrder {
		count += len(s.unsent)
	}
	return count
}

func (m AttemptStarted) handle(r *Reporter, _ time.Time) {
	r.shardState(m.Shard).running[m.Running.Attempt] = m.Running
}

func (m AttemptProgress) handle(r *Reporter, _ time.Time) {
	s := r.shardState(m.Shard)
	if running, ok := s.running[m.Attempt]; ok {
		running.OutputTokens = m.OutputTokens
		s.running[m.Attempt] = running
	}
}

func (m AttemptEnded) handle(r *Reporter, _ time.Time) { r.shardState(m.Shard).addOutcome(m) }
