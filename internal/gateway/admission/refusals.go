package admission

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/gateway/refusals"
	"kingcupcourse/internal/platform"
)

// minWritePeriod is the time between two writes of the refusals.
const minWritePeriod = 500 * time.Millisecond

// storedRefusals is what this host knows of the refusals in the store.
type storedRefusals struct {
	refusals.Stored
	// known reports that they have been read.
	known bool
	// nextWriteAt is the earliest time of the next write.
	nextWriteAt time.Time
}

// DeliverRefusals applies an update of the refusals in the store.
func (d *Duty) DeliverRefusals(ctx context.Context, update platform.Update) error {
	return d.inbox.Put(ctx, refusalsChanged{update})
}

type refusalsChanged struct{ platform.Update }

func (m refusalsChanged) handle(d *Duty, now time.Time) {
	stored, told, err := refusals.Decode(m.Update)
	if err != nil {
		d.Log.Warn("invalid refusals in the store, they are replaced", zap.Uint64("revision", stored.Version), zap.String("error", err.Error()))
	}
	if !told {
		return
	}
	first := !d.stored.known
	d.stored.Stored, d.stored.known = stored, true
	d.poisonMarks.Restore(stored.Refusals, now)
	if first {
		d.Log.Info("refusals read", zap.Int("requests", len(stored.Requests)), zap.Int("parts", len(stored.Parts)), zap.Uint64("revision", stored.Version))
		d.releaseWaiting(now)
	}
}

// storeRefusals has the refusals written if the store holds others.
func (d *Duty) storeRefusals(now time.Time) {
	if !d.stored.known || now.Before(d.stored.nextWriteAt) {
		return
	}
	inForce := d.poisonMarks.Refusals(now)
	if inForce.Same(d.stored.Refusals, now) {
		return
	}
	d.stored.nextWriteAt = now.Add(minWritePeriod)
	d.RefusalWrites.Publish(refusals.Stored{Refusals: inForce, Version: d.stored.Version})
}
