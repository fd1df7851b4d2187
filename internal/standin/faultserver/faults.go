package faultserver

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
)

const (
	// maxHeldRequests limits the requests that a frozen stand-in holds until
	// it is unfrozen. Requests beyond the limit are never answered.
	maxHeldRequests = 4096
	// reopenRetryInterval is the time between attempts to bind a port that is
	// still in use.
	reopenRetryInterval = 100 * time.Millisecond
)

// Backend is the part of a stand-in behind its server. Its methods are called
// by the fault duty and put messages into the ring of the backend.
type Backend interface {
	// UpdateSettings passes on the settings that are now in force.
	UpdateSettings(ctx context.Context, settings Settings) error
	// Reset discards the state of the backend, as a crash does. After it the
	// backend must not start requests of an earlier generation (see
	// Generation).
	Reset(ctx context.Context, generation int) error
}

// Decision tells which faults apply to one request.
type Decision struct {
	// Fail means that the request is answered with status 500 and not started.
	Fail bool
	// Wrong means that the request gets a wrong response.
	Wrong bool
	// Generation is the number of crashes before the request arrived.
	Generation int
}

// faultDuty owns the fault settings and decides which faults apply to each
// request.
type faultDuty struct {
	inbox        *ring.Ring[message]
	listener     *reopenableListener
	backend      Backend
	restartDelay time.Duration
	settings     Settings
	rng          *rand.Rand
	heldRequests []decideRequest
	reopenAt     time.Time
	generation   int
	log          *zap.Logger
}

// message is a command or a query to the fault duty.
type message interface {
	handle(ctx context.Context, f *faultDuty) error
}

// Serve implements supervisor.Duty.
func (f *faultDuty) Serve(ctx context.Context) error {
	handle := func(m message) error { return m.handle(ctx, f) }
	tick := func() error { f.reopenListener(time.Now()); return nil }
	return ring.LoopUntil(ctx, f.inbox, handle, f.nextReopen, tick)
}

func (f *faultDuty) nextReopen() time.Time { return f.reopenAt }

// decideRequest asks which faults apply to a request for path.
type decideRequest struct {
	ring.Reply[Decision]
	path string
}

func (m decideRequest) handle(_ context.Context, f *faultDuty) error {
	switch {
	case !f.settings.Freeze:
		m.Send(f.decide(m.path, time.Now()))
	case len(f.heldRequests) < maxHeldRequests:
		f.heldRequests = append(f.heldRequests, m)
	}
	return nil
}

func (f *faultDuty) decide(path string, now time.Time) Decision {
	dataPlane := isDataPlane(path)
	expired := f.settings.FailAfterUnixMS > 0 && now.UnixMilli() >= f.settings.FailAfterUnixMS
	return Decision{
		Fail:       dataPlane && expired || f.settings.errorRateApplies(path) && f.chance(f.settings.ErrorRate),
		Wrong:      dataPlane && f.chance(f.settings.WrongRate),
		Generation: f.generation,
	}
}

func (f *faultDuty) chance(rate float64) bool { return rate > 0 && f.rng.Float64() < rate }

// decideCut asks whether a new stream is to be cut off halfway.
type decideCut struct{ ring.Reply[bool] }

func (m decideCut) handle(_ context.Context, f *faultDuty) error {
	cut := f.settings.CutStreams > 0
	if cut {
		f.settings.CutStreams--
	}
	m.Send(cut)
	return nil
}

// patchSettings applies a JSON patch to the settings.
type patchSettings struct {
	ring.Reply[error]
	patch []byte
}

func (m patchSettings) handle(ctx context.Context, f *faultDuty) error {
	changed, err := f.settings.merge(m.patch)
	if err == nil {
		err = f.applySettings(ctx, changed)
	}
	m.Send(err)
	return nil
}

func (f *faultDuty) applySettings(ctx context.Context, changed Settings) error {
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
	held := f.heldRequests
	f.heldRequests = nil
	for _, m := range held {
		m.Send(f.decide(m.path, time.Now()))
	}
}

// crash closes the listener and all connections before it resets the backend,
// so that no caller sees the lost state on a connection that is still open.
func (f *faultDuty) crash(ctx context.Context) error {
	f.reopenAt = time.Time{}
	f.heldRequests = nil
	f.listener.close()
	f.generation++
	return f.backend.Reset(ctx, f.generation)
}

// crashServer simulates a crash and schedules the restart.
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
		f.log.Warn("binding the listener failed, retrying", zap.Error(err))
		f.reopenAt = now.Add(reopenRetryInterval)
	}
}
