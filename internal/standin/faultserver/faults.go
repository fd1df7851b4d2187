package faultserver

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
)

const (
	// maxHeldRequests bounds how many requests a frozen stand-in keeps to answer
	// later. Requests above it are never answered.
	maxHeldRequests = 4096
	// reopenRetryInterval is how long to wait before a port that could not be bound
	// is tried again.
	reopenRetryInterval = 100 * time.Millisecond
)

// Backend is the part of a stand-in behind its front. Its methods are called
// on the fault duty and put messages into the owner's ring.
type Backend interface {
	// UpdateSettings tells the owner the settings that are now in force.
	UpdateSettings(ctx context.Context, settings Settings) error
	// Reset tells the owner to forget its state, as a crash does. Requests
	// of an earlier life, as Life tells, must not be started any more.
	Reset(ctx context.Context, life int) error
}

// Decision is what happens to one request.
type Decision struct {
	// Fail means that the request is answered 500 and not begun.
	Fail bool
	// Wrong means that the request gets a wrong answer.
	Wrong bool
	// Generation counts the crashes before the request came.
	Generation int
}

// faultDuty is the duty that owns the fault settings and rules on each request.
type faultDuty struct {
	inbox        *ring.Ring[message]
	listener     *reopenableListener
	backend      Backend
	restartDelay time.Duration
	settings     Settings
	random       *rand.Rand
	held         []decideRequest
	reopenAt     time.Time
	generation   int
	log          *zap.Logger
}

// message is what the fault duty is told or asked.
type message interface {
	handle(ctx context.Context, f *faultDuty) error
}

// Serve implements supervisor.Duty.
func (f *faultDuty) Serve(ctx context.Context) error {
	handle := func(m message) error { return m.handle(ctx, f) }
	tick := func() error { f.reopenListener(time.Now()); return nil }
	return ring.LoopUntil(ctx, f.inbox, handle, f.next, tick)
}

func (f *faultDuty) next() time.Time { return f.reopenAt }

// decideRequest asks what happens to a request for the path.
type decideRequest struct {
	ring.Reply[Decision]
	path string
}

func (m decideRequest) handle(_ context.Context, f *faultDuty) error {
	switch {
	case !f.settings.Freeze:
		m.Send(f.decide(m.path, time.Now()))
	case len(f.held) < maxHeldRequests:
		f.held = append(f.held, m)
	}
	return nil
}

func (f *faultDuty) decide(path string, now time.Time) Decision {
	work := isDataPlane(path)
	expired := f.settings.FailAfterUnixMS > 0 && now.UnixMilli() >= f.settings.FailAfterUnixMS
	return Decision{
		Fail:       work && expired || f.settings.errorRateApplies(path) && f.chance(f.settings.ErrorRate),
		Wrong:      work && f.chance(f.settings.WrongRate),
		Generation: f.generation,
	}
}

func (f *faultDuty) chance(rate float64) bool { return rate > 0 && f.random.Float64() < rate }

// decideCut asks whether the stream that begins is to be cut after half.
type decideCut struct{ ring.Reply[bool] }

func (m decideCut) handle(_ context.Context, f *faultDuty) error {
	cut := f.settings.CutStreams > 0
	if cut {
		f.settings.CutStreams--
	}
	m.Send(cut)
	return nil
}

// patchSettings changes the settings by a JSON order.
type patchSettings struct {
	ring.Reply[error]
	patch []byte
}

func (m patchSettings) handle(ctx context.Context, f *faultDuty) error {
	changed, err := f.settings.merge(m.patch)
	if err == nil {
		err = f.apply(ctx, changed)
	}
	m.Send(err)
	return nil
}

func (f *faultDuty) apply(ctx context.Context, changed Settings) error {
	before := f.settings
	f.settings = changed
	if changed.SilentConnections {
		f.listener.silenceOpen()
	}
	if err := f.backend.UpdateSettings(ctx, changed); err != nil {
		return err
	}
	if before.Freeze && !changed.Freeze {
		f.unfreeze()
	}
	switch {
	case changed.Down && !before.Down:
		return f.crash(ctx)
	case before.Down && !changed.Down:
		f.reopenListener(time.Now())
	}
	return nil
}

func (f *faultDuty) unfreeze() {
	held := f.held
	f.held = nil
	for _, m := range held {
		m.Send(f.decide(m.path, time.Now()))
	}
}

// crash closes the door, cuts the connections and then loses the state, so
// that no caller can see the loss on a connection that is still open.
func (f *faultDuty) crash(ctx context.Context) error {
	f.reopenAt = time.Time{}
	f.held = nil
	f.listener.close()
	f.generation++
	return f.backend.Reset(ctx, f.generation)
}

// crashServer says that the stand-in has crashServer; it starts again later.
type crashServer struct{}

func (crashServer) handle(ctx context.Context, f *faultDuty) error {
	if f.settings.Down {
		return nil
	}
	err := f.crash(ctx)
	f.reopenAt = time.Now().Add(f.restartDelay)
	return err
}

func (f *faultDuty) reopenListener(now time.Time) {
	f.reopenAt = time.Time{}
	if err := f.listener.open(); err != nil {
		f.log.Warn("the port is in use, trying again", zap.Error(err))
		f.reopenAt = now.Add(reopenRetryInterval)
	}
}
