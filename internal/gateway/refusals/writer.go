// Package refusals keeps in the platform's store what the hosts refuse since it crashes
// endpoints, so that hosts which start know it.
package refusals

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
)

// Prefix is the key prefix of the object in the platform's store.
const Prefix = "kingcup-refusals"

// key is the key of the object.
const key = Prefix + "/refusals"

// object is the object in the store. The times are in Unix milliseconds.
type object struct {
	Requests map[string]int64 `json:"requests,omitempty"` // by fingerprint
	Parts    map[string]int64 `json:"parts,omitempty"`
}

// Stored is what the store holds.
type Stored struct {
	poison.Refusals
	// Version is that of the object, zero if there is none.
	Version uint64
}

// Decode returns the stored refusals that an update holds, and whether it tells of them.
func Decode(update platform.Update) (Stored, bool, error) {
	if update.Err != nil {
		return Stored{}, false, nil
	}
	for _, o := range update.Objects {
		if o.Key != key {
			continue
		}
		if o.Deleted {
			return Stored{}, true, nil
		}
		var decoded object
		if err := json.Unmarshal(o.Value, &decoded); err != nil {
			return Stored{Version: o.Version}, true, eris.Wrapf(err, "decode %s", key)
		}
		return Stored{Version: o.Version, Refusals: poison.Refusals{Requests: toTimes(decoded.Requests), Parts: toTimes(decoded.Parts)}}, true, nil
	}
	return Stored{}, update.Full, nil
}

func toTimes(ends map[string]int64) map[string]time.Time {
	times := make(map[string]time.Time, len(ends))
	for name, end := range ends {
		times[name] = time.UnixMilli(end)
	}
	return times
}

func toMilliseconds(times map[string]time.Time) map[string]int64 {
	ends := make(map[string]int64, len(times))
	for name, until := range times {
		ends[name] = until.UnixMilli()
	}
	return ends
}

// Writer is the duty that writes the refusals to the store. It writes each once, under the
// condition that the store still holds the given version; a write that failed is asked
// for again.
type Writer struct {
	store  *platform.Client
	writes *ring.Latest[Stored]
	log    *zap.Logger
}

// NewWriter returns the duty.
func NewWriter(store *platform.Client, log *zap.Logger) *Writer {
	return &Writer{store: store, writes: ring.NewLatest[Stored](), log: log}
}

// Writes returns the ring that holds only the latest content to write.
func (w *Writer) Writes() *ring.Latest[Stored] { return w.writes }

// Serve implements supervisor.Duty.
func (w *Writer) Serve(ctx context.Context) error {
	for {
		next, err := w.writes.Take(ctx)
		if err != nil {
			return err
		}
		version, err := w.store.Put(ctx, key, next.Version, object{Requests: toMilliseconds(next.Requests), Parts: toMilliseconds(next.Parts)})
		if err != nil {
			w.log.Warn("refusals not written", zap.Uint64("revision", next.Version), zap.String("error", err.Error()))
			continue
		}
		w.log.Info("refusals written", zap.Int("requests", len(next.Requests)), zap.Int("parts", len(next.Parts)), zap.Uint64("revision", version))
	}
}
