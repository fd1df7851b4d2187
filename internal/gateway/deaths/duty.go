// Package deaths finds out which endpoints have ended, of those that lost an answer and
// whose ports still accepted connections.
package deaths

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/crash"
	"kingcupcourse/internal/decision/poison"
	"kingcupcourse/internal/gateway/admission"
	gatewaycatalog "kingcupcourse/internal/gateway/catalog"
	"kingcupcourse/internal/gateway/connections"
	"kingcupcourse/internal/ring"
)

const (
	// inboxCapacity bounds the queued losses. One that finds the ring full is dropped.
	inboxCapacity = 256
	// maxWatched bounds the endpoints that are watched, maxLosses the lost answers of one.
	maxWatched, maxLosses = 64, 64
	// snapshotPeriod is the time between two looks at the entries of the endpoints.
	snapshotPeriod = 200 * time.Millisecond
)

// Port is what a new connection to an endpoint shows, as in logs and metrics.
type Port string

// The states of a port.
const (
	PortAccepts Port = "accepts"
	PortRefuses Port = "refuses"
	PortSilent  Port = "silent"
)

// CheckPort opens a connection to the address and closes it. It takes
// connections.DialTimeout at the most.
func CheckPort(address string) Port {
	connection, err := net.DialTimeout("tcp", address, connections.DialTimeout)
	switch {
	case err == nil:
		_ = connection.Close()
		return PortAccepts
	case errors.Is(err, syscall.ECONNREFUSED):
		return PortRefuses
	}
	return PortSilent
}

// Loss is an answer that was lost at an endpoint, with the evidence that it is if the
// endpoint has ended.
type Loss struct {
	Endpoint catalog.Endpoint
	Evidence poison.Evidence
}

// Config holds the dependencies of the duty.
type Config struct {
	Snapshots gatewaycatalog.Subscription
	Admission *ring.Ring[admission.Message]
	Log       *zap.Logger
}

// Duty implements supervisor.Duty. It watches the endpoints for crash.WatchTime.
type Duty struct {
	Config
	inbox    *ring.Ring[Loss]
	snapshot *catalog.Snapshot
	watched  map[string]*watched // by address
	nextTick time.Time
}

// watched is an endpoint that lost answers.
type watched struct {
	endpoint catalog.Endpoint
	evidence []poison.Dated
	lostAt   time.Time
	checks   int
	port     Port
}

// New returns the duty.
func New(c Config) *Duty {
	return &Duty{Config: c, inbox: ring.New[Loss]("gateway_deaths", inboxCapacity), snapshot: &catalog.Snapshot{}, watched: map[string]*watched{}}
}

// Inbox returns the ring of losses.
func (d *Duty) Inbox() *ring.Ring[Loss] { return d.inbox }

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, d.inbox, func(l Loss) error {
		d.add(l, time.Now())
		return nil
	}, func() time.Time { return d.nextTick }, func() error { return d.tick(ctx) })
}

func (d *Duty) add(l Loss, now time.Time) {
	w := d.watched[l.Endpoint.Address]
	if w == nil || !w.endpoint.StartedAt.Equal(l.Endpoint.StartedAt) {
		if w == nil && len(d.watched) == maxWatched {
			return
		}
		w = &watched{endpoint: l.Endpoint, lostAt: now}
		d.watched[l.Endpoint.Address] = w
	}
	if len(w.evidence) < maxLosses {
		w.evidence = append(w.evidence, poison.Dated{Evidence: l.Evidence, Got: now})
	}
	d.schedule()
}

// schedule sets the time of the next check.
func (d *Duty) schedule() {
	d.nextTick = time.Time{}
	for _, w := range d.watched {
		if at := w.nextAt(); d.nextTick.IsZero() || at.Before(d.nextTick) {
			d.nextTick = at
		}
	}
	if earliest := time.Now().Add(snapshotPeriod); len(d.watched) > 0 && d.nextTick.After(earliest) {
		d.nextTick = earliest
	}
}

// nextAt returns when the endpoint's port is checked, or its watch ends.
func (w *watched) nextAt() time.Time {
	if delay, ok := crash.CheckDelay(w.checks); ok {
		return w.lostAt.Add(delay)
	}
	return w.lostAt.Add(crash.WatchTime)
}

func (d *Duty) tick(ctx context.Context) error {
	if snapshot, ok := d.Snapshots.TryTake(); ok {
		d.snapshot = snapshot
	}
	defer d.schedule()
	for address, w := range d.watched {
		ended, done := d.check(w, time.Now())
		if ended {
			if err := d.report(ctx, w); err != nil {
				return err
			}
		}
		if ended || done {
			delete(d.watched, address)
		}
	}
	return nil
}

// check reports whether the endpoint has ended, and whether its watch has.
func (d *Duty) check(w *watched, now time.Time) (ended, done bool) {
	switch crash.Judge(w.endpoint, d.snapshot.Endpoints) {
	case crash.Ended:
		return true, true
	case crash.Leaving:
		return false, true
	}
	if now.Before(w.nextAt()) {
		return false, false
	}
	if _, ok := crash.CheckDelay(w.checks); !ok {
		d.Log.Info("endpoint taken for alive after lost answers", zap.String("endpoint", w.endpoint.Name), zap.Int("answers", len(w.evidence)),
			zap.String("port", string(w.port)))
		return false, true
	}
	w.checks++
	w.port = CheckPort(w.endpoint.Address)
	return w.port == PortRefuses, false
}

// report passes the death on as evidence.
func (d *Duty) report(ctx context.Context, w *watched) error {
	d.Log.Warn("watched endpoint died", zap.String("endpoint", w.endpoint.Name), zap.Int("answers", len(w.evidence)),
		zap.String("port", string(w.port)), zap.Duration("after", time.Since(w.lostAt)))
	for _, evidence := range poison.AllAged(w.evidence, time.Now()) {
		if err := d.Admission.Put(ctx, admission.EndpointDied{Evidence: evidence}); err != nil {
			return err
		}
	}
	return nil
}
