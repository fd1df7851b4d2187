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
	// ownerRingCapacity bounds the messages that wait for the owner.
	ownerRingCapacity = 4096
)

// Owner is the duty that owns the running attempts and the unsent outcomes.
type Owner struct {
	config  Config
	inbox   Inbox
	senders []*ring.Ring[send]
	view    *control.View
	shards  map[ownership.Shard]*shardState
	order   []*shardState
	watches map[string]map[string]context.CancelCauseFunc // by address, attempt
	// unanswered counts the reports in a row without an answer, by address.
	unanswered map[string]int
}

// Config tells the duties what they need to know.
type Config struct {
	Host string
	// Views is where the newest view is published.
	Views control.Subscription
}

func newOwner(config Config, inbox Inbox, senders []*ring.Ring[send]) *Owner {
	return &Owner{
		config: config, inbox: inbox, senders: senders,
		shards:     map[ownership.Shard]*shardState{},
		watches:    map[string]map[string]context.CancelCauseFunc{},
		unanswered: map[string]int{},
	}
}

// Serve implements supervisor.Duty. On stop it sends what is unsent.
func (o *Owner) Serve(ctx context.Context) error {
	err := ring.LoopUntil(ctx, o.inbox, o.take, o.next, o.tick)
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), supervisor.ErrKilled) {
		o.flush(ctx)
	}
	return err
}

func (o *Owner) take(m Message) error {
	m.handle(o, time.Now())
	return o.tick()
}

// next returns when the first shard has a report due.
func (o *Owner) next() time.Time {
	now := time.Now()
	first := now.Add(heartbeatInterval)
	if o.view == nil {
		return first
	}
	for _, s := range o.order {
		if at := s.next(); at.Before(first) {
			first = at
		}
	}
	if first.IsZero() {
		return now
	}
	return first
}

// tick sends every report that is due.
func (o *Owner) tick() error {
	o.refresh()
	if o.view == nil {
		return nil
	}
	now := time.Now()
	for i, s := range o.order {
		if s.due(now) {
			o.send(s, o.senders[i%len(o.senders)], now)
		}
	}
	return nil
}

func (o *Owner) send(s *shardState, sender *ring.Ring[send], now time.Time) {
	address := s.address(o.view.Members)
	if address == "" || sender.Len() == sender.Cap() {
		s.retry = now.Add(retryInterval)
		return
	}
	report := s.report(o.config.Host, o.view.ManifestVersion, now)
	if sender.TryPut(send{s.shard, s.sequence, address, report}) != nil {
		s.failed(now)
	}
}

// refresh takes over a newer view and the shards that it names.
func (o *Owner) refresh() {
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
			o.state(ownership.Shard{Pool: pool.Name, Region: region.Name})
		}
	}
}

func (o *Owner) state(shard ownership.Shard) *shardState {
	s := o.shards[shard]
	if s == nil {
		s = newShardState(shard)
		o.shards[shard] = s
		o.order = append(o.order, s)
	}
	return s
}

// flush waits until every outcome is acknowledged, for flushTimeout at most.
func (o *Owner) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	for o.unsent() > 0 || o.inbox.Len() > 0 {
		_ = o.tick()
		m, err := o.inbox.TakeUntil(ctx, o.next())
		switch {
		case err == nil:
			m.handle(o, time.Now())
		case !errors.Is(err, ring.ErrTimeout):
			return
		}
	}
}

func (o *Owner) unsent() (count int) {
	for _, s := range o.order {
		count += len(s.unsent)
	}
	return count
}

func (m Started) handle(o *Owner, _ time.Time) {
	o.state(m.Shard).running[m.Running.Attempt] = m.Running
}

func (m Progress) handle(o *Owner, _ time.Time) {
	s := o.state(m.Shard)
	if running, ok := s.running[m.Attempt]; ok {
		running.OutputTokens = m.OutputTokens
		s.running[m.Attempt] = running
	}
}

func (m Ended) handle(o *Owner, _ time.Time) { o.state(m.Shard).end(m) }
