// Package owner implements the duty that owns the journal of a pool: it feeds
// the journal's state machine and hands the calls that the machine requests to
// the callers.
package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/journal"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
)

const (
	// pruneInterval is the time between two removals of expired keys.
	pruneInterval = time.Minute
)

// Config configures an owner duty.
type Config struct {
	Pool    string
	Machine *journal.Machine
	Inbox   *ring.Ring[inbox.JournalMessage]
	Queue   *ring.Ring[inbox.QueueMessage]
	// Writer is the ring of the only writer, Readers holds those of the
	// readers.
	Writer  *ring.Ring[journal.Op]
	Readers []*ring.Ring[journal.Op]
	Log     *zap.Logger
}

// Duty is the owner of one journal.
type Duty struct {
	Config
	log *zap.Logger

	pruneAt time.Time
	// backlog holds calls that did not fit into the ring of their caller.
	backlog []journal.Op
	isOwner bool
	flushes []inbox.Flush
}

// New returns an owner duty.
func New(config Config) *Duty {
	return &Duty{Config: config, log: config.Log.With(zap.String("pool", config.Pool))}
}

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	d.pruneAt = time.Now().Add(pruneInterval)
	handle := func(m inbox.JournalMessage) error {
		d.apply(m, time.Now())
		d.applyPending(time.Now())
		return d.advance(ctx, time.Now())
	}
	tick := func() error {
		now := time.Now()
		if !now.Before(d.pruneAt) {
			d.Machine.Prune(now)
			d.pruneAt = now.Add(pruneInterval)
		}
		return d.advance(ctx, now)
	}
	return ring.LoopUntil(ctx, d.Inbox, handle, d.nextWake, tick)
}

func (d *Duty) nextWake() time.Time {
	at := d.Machine.NextOpsAt()
	if at.IsZero() || at.After(d.pruneAt) {
		return d.pruneAt
	}
	return at
}

// applyPending applies all messages that already wait in the ring, so that their
// records go into the same write.
func (d *Duty) applyPending(now time.Time) {
	for range d.Inbox.Len() {
		m, ok := d.Inbox.TryTake()
		if !ok {
			return
		}
		d.apply(m, now)
	}
}

func (d *Duty) apply(m inbox.JournalMessage, now time.Time) {
	switch m := m.(type) {
	case inbox.Reserve:
		d.Machine.Reserve(m.Request, now)
	case inbox.ConfirmRefusal:
		d.Machine.RefuseUnreserved(m.Request, m.Refusal, now)
	case inbox.Release:
		d.Machine.Release(m.Key, m.Attempt, m.ByEntry, now)
	case inbox.Finish:
		d.Machine.Finish(m.Record, now)
	case inbox.SetOwnership:
		d.Machine.SetOwnership(m.Owned, now)
	case inbox.ReadDone:
		d.Machine.ReadDone(m.Result, now)
	case inbox.WriteDone:
		countWrite(d.Pool, m.Result)
		d.Machine.WriteDone(m.Result, m.Version, now)
	case inbox.Flush:
		d.flushes = append(d.flushes, m)
	}
}

// advance forwards the calls and replies that the machine has produced.
func (d *Duty) advance(ctx context.Context, now time.Time) error {
	d.backlog = append(d.backlog, d.Machine.Ops(now)...)
	d.startCalls()
	for _, reply := range d.Machine.TakeReplies() {
		if err := d.Queue.Put(ctx, inbox.JournalReply{Reply: reply}); err != nil {
			return err
		}
	}
	d.replyToFlushes()
	d.observeOwnership()
	return nil
}

func (d *Duty) startCalls() {
	var remaining []journal.Op
	for _, op := range d.backlog {
		if d.ringFor(op).TryPut(op) != nil {
			remaining = append(remaining, op)
			continue
		}
		if op.Kind == journal.OpWrite {
			recordsPerWrite.Observe(float64(len(op.Batch.Records)))
		}
	}
	d.backlog = remaining
}

func (d *Duty) ringFor(op journal.Op) *ring.Ring[journal.Op] {
	if op.Kind == journal.OpWrite {
		return d.Writer
	}
	return d.Readers[op.Slot%len(d.Readers)]
}

func (d *Duty) replyToFlushes() {
	if !d.Machine.Idle() && !d.Machine.PlatformDown() {
		return
	}
	for _, flush := range d.flushes {
		flush.Send(struct{}{})
	}
	d.flushes = nil
}

func (d *Duty) observeOwnership() {
	if owner := d.Machine.IsOwner(); owner != d.isOwner {
		d.isOwner = owner
		d.log.Info("journal ownership changed", zap.Bool("owner", owner), zap.Int("keys", d.Machine.KeyCount()))
	}
	keysGauge.WithLabelValues(d.Pool).Set(float64(d.Machine.KeyCount()))
}
