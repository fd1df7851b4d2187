// Package caller implements the duty that executes a journal's calls to the
// platform, one at a time.
package caller

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/journal"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
)

// CallTimeout limits the duration of one call.
const CallTimeout = 800 * time.Millisecond

// Platform is the subset of the platform client that the duty needs.
type Platform interface {
	Get(ctx context.Context, key string) (platform.Object, error)
	Put(ctx context.Context, key string, ifVersion uint64, value any) (uint64, error)
}

// Duty executes the calls that arrive in its ring.
type Duty struct {
	shard    ownership.Shard
	calls    *ring.Ring[journal.Op]
	results  *ring.Ring[inbox.JournalMessage]
	platform Platform
	log      *zap.Logger
}

// New returns a duty that takes calls from one ring and puts their results into
// another.
func New(shard ownership.Shard, calls *ring.Ring[journal.Op], results *ring.Ring[inbox.JournalMessage], p Platform, log *zap.Logger) *Duty {
	return &Duty{shard: shard, calls: calls, results: results, platform: p, log: log.With(zap.String("pool", shard.Pool))}
}

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	return ring.Loop(ctx, d.calls, func(op journal.Op) error { return d.call(ctx, op) })
}

// call executes one call. It delivers a result even if ctx ends meanwhile or
// the call panics: the owner waits for one.
func (d *Duty) call(ctx context.Context, op journal.Op) error {
	result := d.crashResult(op)
	defer func() { _ = d.results.Put(context.WithoutCancel(ctx), result) }()
	bounded, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if op.Kind == journal.OpWrite {
		result = d.write(bounded, op)
	} else {
		result = d.read(bounded, op)
	}
	return nil
}

// crashResult returns the result of a call that panicked.
func (d *Duty) crashResult(op journal.Op) inbox.JournalMessage {
	if op.Kind == journal.OpWrite {
		return inbox.WriteDone{Result: journal.WriteUnknown}
	}
	return inbox.ReadDone{Result: journal.ReadResult{Slot: op.Slot, Failed: true}}
}

// key returns the key of a slot object. Each region has its own owner and thus
// its own journal: an idempotency key always belongs to the home region of its
// client account.
func (d *Duty) key(slot int) string {
	return "journal/" + d.shard.Pool + "/" + string(d.shard.Region) + "/" + strconv.Itoa(slot)
}

func (d *Duty) write(ctx context.Context, op journal.Op) inbox.JournalMessage {
	version, err := d.platform.Put(ctx, d.key(op.Slot), op.IfVersion, encode(op.Batch))
	if err != nil {
		d.log.Warn("journal write failed", zap.Int("slot", op.Slot), zap.String("error", err.Error()))
	}
	return inbox.WriteDone{Result: writeResult(err), Version: version}
}

// writeResult derives from an error what is known of a write. The outcome is
// unknown unless the error shows otherwise.
func writeResult(err error) journal.WriteResult {
	var conflict *platform.ConflictError
	var limited *platform.RateLimitedError
	switch {
	case err == nil:
		return journal.WriteApplied
	case errors.As(err, &conflict):
		return journal.WriteConflict
	case errors.As(err, &limited), errors.Is(err, platform.ErrUnavailable):
		return journal.WriteRejected
	default:
		return journal.WriteUnknown
	}
}

func (d *Duty) read(ctx context.Context, op journal.Op) inbox.JournalMessage {
	result := journal.ReadResult{Slot: op.Slot}
	object, err := d.platform.Get(ctx, d.key(op.Slot))
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		d.log.Warn("journal read failed", zap.Int("slot", op.Slot), zap.String("error", err.Error()))
		result.Failed = true
	default:
		result.Version = object.Version
		if result.Batch, err = decode(object.Value); err != nil {
			d.log.Error("journal slot unreadable", zap.Int("slot", op.Slot), zap.String("error", err.Error()))
			result = journal.ReadResult{Slot: op.Slot, Failed: true}
		}
	}
	return inbox.ReadDone{Result: result}
}
