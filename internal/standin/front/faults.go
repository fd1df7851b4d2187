package front

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
)

const (
	// maxHeld bounds how many requests a frozen stand-in keeps to answer
	// later. Requests above it are never answered.
	maxHeld = 4096
	// reopenRetry is how long to wait before a port that could not be bound
	// is tried again.
	reopenRetry = 100 * time.Millisecond
)

// Owner is the part of a stand-in behind its front. Its methods are called
// on the fault duty and put messages into the owner's ring.
type Owner interface {
	// Changed tells the owner the settings that are now in force.
	Changed(ctx context.Context, settings Settings) error
	// Lose tells the owner to forget its state, as a crash does. Requests
	// of an earlier life, as Life tells, must not be started any more.
	Lose(ctx context.Context, life int) error
}

// Verdict is what happens to one request.
type Verdict struct {
	// Fail means that the request is answered 500 and not begun.
	Fail bool
	// Wrong means that the request gets a wrong answer.
	Wrong bool
	// Life counts the crashes before the request came.
	Life int
}

// faults is the duty that owns the fault settings and rules on each request.
type faults struct {
	inbox    *ring.Ring[message]
	door     *door
	owner    Owner
	restart  time.Duration
	settings Settings
	random   *rand.Rand
	held     []verdictAsked
	reopenAt time.Time
	life     int
	log      *zap.Logger
}

// message is what the fault duty is told or asked.
type message interface {
	handle(ctx context.Context, f *faults) error
}

// Serve implements supervisor.Duty.
func (f *faults) Serve(ctx context.Context) error {
	handle := func(m message) error { return m.handle(ctx, f) }
	tick := func() error { f.reopen(time.Now()); return nil }
	return ring.LoopUntil(ctx, f.inbox, handle, f.next, tick)
}

func (f *faults) next() time.Time { return f.reopenAt }

// verdictAsked asks what happens to a request for the path.
type verdictAsked struct {
	ring.Reply[Verdict]
	path string
}

func (m verdictAsked) handle(_ context.Context, f *faults) error {
	switch {
	case !f.settings.Freeze:
		m.Send(f.rule(m.path, time.Now()))
	case len(f.held) < maxHeld:
		f.held = append(f.held, m)
	}
	return nil
}

func (f *faults) rule(path string, now time.Time) Verdict {
	work := isWork(path)
	expired := f.settings.FailAfterUnixMS > 0 && now.UnixMilli() >= f.settings.FailAfterUnixMS
	return Verdict{
		Fail:  work && expired || f.settings.mayErr(path) && f.chance(f.settings.ErrorRate),
		Wrong: work && f.chance(f.settings.WrongRate),
		Life:  f.life,
	}
}

func (f *faults) chance(rate float64) bool { return rate > 0 && f.random.Float64() < rate }

// cutAsked asks whether the stream that begins is to be cut after half.
type cutAsked struct{ ring.Reply[bool] }

func (m cutAsked) handle(_ context.Context, f *faults) error {
	cut := f.settings.CutStreams > 0
	if cut {
		f.settings.CutStreams--
	}
	m.Send(cut)
	return nil
}

// settingsOrdered changes the settings by a JSON order.
type settingsOrdered struct {
	ring.Reply[error]
	order []byte
}

func (m settingsOrdered) handle(ctx context.Context, f *faults) error {
	changed, err := f.settings.merge(m.order)
	if err == nil {
		err = f.apply(ctx, changed)
	}
	m.Send(err)
	return nil
}

func (f *faults) apply(ctx context.Context, changed Settings) error {
	before := f.settings
	f.settings = changed
	if changed.SilentConnections {
		f.door.silence()
	}
	if err := f.owner.Changed(ctx, changed); err != nil {
		return err
	}
	if before.Freeze && !changed.Freeze {
		f.thaw()
	}
	switch {
	case changed.Down && !before.Down:
		return f.fall(ctx)
	case before.Down && !changed.Down:
		f.reopen(time.Now())
	}
	return nil
}

func (f *faults) thaw() {
	held := f.held
	f.held = nil
	for _, m := range held {
		m.Send(f.rule(m.path, time.Now()))
	}
}

// fall closes the door, cuts the connections and then loses the state, so
// that no caller can see the loss on a connection that is still open.
func (f *faults) fall(ctx context.Context) error {
	f.reopenAt = time.Time{}
	f.held = nil
	f.door.close()
	f.life++
	return f.owner.Lose(ctx, f.life)
}

// crashed says that the stand-in has crashed; it starts again later.
type crashed struct{}

func (crashed) handle(ctx context.Context, f *faults) error {
	if f.settings.Down {
		return nil
	}
	err := f.fall(ctx)
	f.reopenAt = time.Now().Add(f.restart)
	return err
}

func (f *faults) reopen(now time.Time) {
	f.reopenAt = time.Time{}
	if err := f.door.open(); err != nil {
		f.log.Warn("the port is in use, trying again", zap.Error(err))
		f.reopenAt = now.Add(reopenRetry)
	}
}
