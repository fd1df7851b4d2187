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
	// heartbeatInterval is the time between two full reports of a shard.
	heartbeatInterval = 500 * time.Millisecond
	// retryInterval is the pause after a report that found no owner.
	retryInterval = 100 * time.Millisecond
	// flushTimeout bounds the last reports on stop.
	flushTimeout = 5 * time.Second
	// reporterRingCapacity bounds the messages that wait for the owner.
	reporterRingCapacity = 4096
)

// Reporter is the duty that owns the running attempts and the unsent outcomes.
type Reporter struct {
	config     Config
	inbox      Inbox
	senders    []*ring.Ring[sendRequest]
	view       *control.View
	shards     map[ownership.Shard]*shardState
	shardOrder []*shardState
	grantCalls map[string]map[string]context.CancelCauseFunc // by address, attempt
	// unansweredReports counts the reports in a row without an answer, by address.
	unansweredReports map[string]int
}

// Config tells the duties what they need to know.
type Config struct {
	Host string
	// Views is where the newest view is published.
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

// Serve implements supervisor.Duty. On stop it sends what is unsent.
func (o *Reporter) Serve(ctx context.Context) error {
	err := ring.LoopUntil(ctx, o.inbox, o.handleMessage, o.nextReportTime, o.sendDue)
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), supervisor.ErrKilled) {
		o.flush(ctx)
	}
	return err
}

func (o *Reporter) handleMessage(m Message) error {
	m.handle(o, time.Now())
	return o.sendDue()
}

// nextReportTime returns when the first shard has a report due.
func (o *Reporter) nextReportTime() time.Time {
	now := time.Now()
	first := now.Add(heartbeatInterval)
	if o.view == nil {
		return first
	}
	for _, s := range o.shardOrder {
		if at := s.nextReportTime(); at.Before(first) {
			first = at
		}
	}
	if first.IsZero() {
		return now
	}
	return first
}

// sendDue sends every report that is due.
func (o *Reporter) sendDue() error {
	o.updateView()
	if o.view == nil {
		return nil
	}
	now := time.Now()
	for i, s := range o.shardOrder {
		if s.isDue(now) {
			o.sendReport(s, o.senders[i%len(o.senders)], now)
		}
	}
	return nil
}

func (o *Reporter) sendReport(s *shardState, sender *ring.Ring[sendRequest], now time.Time) {
	address := s.targetAddress(o.view.Members)
	if address == "" || sender.Len() == sender.Cap() {
		s.retryAt = now.Add(retryInterval)
		return
	}
	report := s.buildReport(o.config.Host, o.view.ManifestVersion, now)
	if sender.TryPut(sendRequest{s.shard, s.sequence, address, report}) != nil {
		s.handleFailure(now)
	}
}

// updateView takes over a newer view and the shards that it names.
func (o *Reporter) updateView() {
	view, ok := o.config.Views.TryTake()
	if !ok {
		return
	}
	o.view = view
	if view.Manifest == nil {
		return
	}
	for _, pool := range view.Manifest.Pools {
		for _, region := range view.Manifest.Regions {
			o.shardState(ownership.Shard{Pool: pool.Name, Region: region.Name})
		}
	}
}

func (o *Reporter) shardState(shard ownership.Shard) *shardState {
	s := o.shards[shard]
	if s == nil {
		s = newShardState(shard)
		o.shards[shard] = s
		o.shardOrder = append(o.shardOrder, s)
	}
	return s
}

// flush waits until every outcome is acknowledged, for flushTimeout at most.
func (o *Reporter) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	for o.unsentCount() > 0 || o.inbox.Len() > 0 {
		_ = o.sendDue()
		m, err := o.inbox.TakeUntil(ctx, o.nextReportTime())
		switch {
		case err == nil:
			m.handle(o, time.Now())
		case !errors.Is(err, ring.ErrTimeout):
			return
		}
	}
}

func (o *Reporter) unsentCount() (count int) {
	for _, s := range o.shardOrder {
		count += len(s.unsent)
	}
	return count
}

func (m AttemptStarted) handle(o *Reporter, _ time.Time) {
	o.shardState(m.Shard).running[m.Running.Attempt] = m.Running
}

func (m AttemptProgress) handle(o *Reporter, _ time.Time) {
	s := o.shardState(m.Shard)
	if running, ok := s.running[m.Attempt]; ok {
		running.OutputTokens = m.OutputTokens
		s.running[m.Attempt] = running
	}
}

func (m AttemptEnded) handle(o *Reporter, _ time.Time) { o.shardState(m.Shard).addOutcome(m) }
