// Package supervisor implements the supervisor tree that every process of
// kingcupcourse consists of. A supervisor starts its children in order,
// restarts a child that fails or panics, returns ErrRestartStorm when failures
// are too frequent, and stops its children one by one in reverse order, or
// concurrently if they are independent.
//
// It is the only package, besides ring, that starts goroutines.
package supervisor

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
)

// ErrRestartStorm is returned by Serve when children fail more often than the
// restart intensity allows. The parent counts it as one failure of this
// supervisor.
var ErrRestartStorm = errors.New("supervisor: children fail too fast")

// ErrDone is returned by a duty that has completed. Its supervisor removes it
// instead of restarting it.
var ErrDone = suture.ErrDoNotRestart

// ErrUnknownChild is returned by Kill and Remove if the name is not in the tree.
var ErrUnknownChild = errors.New("supervisor: unknown child")

// Duty is a long-running task with a goroutine of its own. Serve returns when
// ctx ends, after it has finished the work in progress. It may be called again
// after it returned an error or panicked, and then resumes from the state that
// the duty has kept.
type Duty interface {
	Serve(ctx context.Context) error
}

// Child is a duty or supervisor with its name in the tree.
type Child struct {
	Name string
	Duty Duty
	// StopTimeout limits how long the child may take to return after its
	// context ended. Default DefaultStopTimeout.
	StopTimeout time.Duration
}

const (
	// DefaultStopTimeout limits how long a child may take to stop.
	DefaultStopTimeout = 30 * time.Second
	// DefaultMaxFailures is the decaying failure count that a supervisor
	// tolerates.
	DefaultMaxFailures = 5
	// DefaultFailureDecay is the time in which the failure count halves.
	DefaultFailureDecay = 10 * time.Second
)

// Spec configures a supervisor: its children and its restart intensity.
type Spec struct {
	Name string
	// Children are started in this order and stopped in reverse.
	Children []Child
	// StopTogether stops all children concurrently instead of one by one, for
	// children that do not depend on each other.
	StopTogether bool
	// MaxFailures is the decaying failure count above which Serve returns
	// ErrRestartStorm. Default DefaultMaxFailures.
	MaxFailures float64
	// FailureDecay is the time in which the failure count halves. Default
	// DefaultFailureDecay.
	FailureDecay time.Duration
}

// Supervisor starts, restarts and stops its children. It is itself a Duty.
type Supervisor struct {
	spec Spec
	log  *zap.Logger

	mu       sync.Mutex
	children []*entry
	running  *suture.Supervisor
}

// entry is a child with its token in the running suture supervisor.
type entry struct {
	child   Child
	service *service
	token   suture.ServiceToken
	nested  *Supervisor
}

// New returns a supervisor that is not yet running.
func New(spec Spec, log *zap.Logger) *Supervisor {
	if spec.MaxFailures == 0 {
		spec.MaxFailures = DefaultMaxFailures
	}
	if spec.FailureDecay == 0 {
		spec.FailureDecay = DefaultFailureDecay
	}
	s := &Supervisor{spec: spec, log: log.With(zap.String("supervisor", spec.Name))}
	for _, child := range spec.Children {
		s.children = append(s.children, s.newEntry(child))
	}
	return s
}

func (s *Supervisor) newEntry(child Child) *entry {
	if child.StopTimeout == 0 {
		child.StopTimeout = DefaultStopTimeout
	}
	nested, _ := child.Duty.(*Supervisor)
	e := &entry{child: child, nested: nested}
	e.service = &service{duty: child.Duty, name: child.Name, onDone: func() { s.removeFinished(e) }}
	return e
}

// removeFinished removes a child that has returned ErrDone.
func (s *Supervisor) removeFinished(finished *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.children = slices.DeleteFunc(slices.Clone(s.children),
		func(e *entry) bool { return e == finished })
}

// Serve runs the children until ctx ends, then stops them as the Spec says. It
// returns ErrRestartStorm if the children fail too often.
func (s *Supervisor) Serve(ctx context.Context) error {
	// The children's context outlives ctx, so that they can be stopped in order
	// and not all at once.
	inner, stopAll := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stopAll(nil)
	running := suture.New(s.spec.Name, suture.Spec{
		EventHook:                s.eventHook(stopAll),
		FailureThreshold:         s.spec.MaxFailures,
		FailureDecay:             s.spec.FailureDecay.Seconds(),
		Timeout:                  DefaultStopTimeout,
		DontPropagateTermination: true,
	})
	s.start(running)
	ended := running.ServeBackground(inner)
	select {
	case <-ctx.Done():
		if s.spec.StopTogether {
			s.markStopped()
		} else {
			s.stopInOrder()
		}
		stopAll(nil)
		<-ended
		return ctx.Err()
	case <-inner.Done():
		s.markStopped()
		<-ended
		return context.Cause(inner)
	}
}

func (s *Supervisor) start(running *suture.Supervisor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = running
	for _, e := range s.children {
		e.token = running.Add(e.service)
	}
}

func (s *Supervisor) markStopped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = nil
}

func (s *Supervisor) stopInOrder() {
	s.mu.Lock()
	children, running := s.children, s.running
	s.running = nil
	s.mu.Unlock()
	for i := len(children) - 1; i >= 0; i-- {
		e := children[i]
		if err := running.RemoveAndWait(e.token, e.child.StopTimeout); errors.Is(err, suture.ErrTimeout) {
			s.log.Error("child did not stop in time", zap.String("child", e.child.Name),
				zap.Duration("timeout", e.child.StopTimeout))
		}
	}
}

// Add appends a child, starting it if the supervisor is running. It is stopped
// before the children added earlier.
func (s *Supervisor) Add(child Child) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.newEntry(child)
	if s.running != nil {
		e.token = s.running.Add(e.service)
	}
	s.children = append(s.children, e)
}

// Remove stops a child, removes it from the tree and waits until it has stopped.
// It returns ErrUnknownChild if there is no direct child of that name.
func (s *Supervisor) Remove(name string) error {
	s.mu.Lock()
	e := s.removeEntry(name)
	running := s.running
	s.mu.Unlock()
	if e == nil {
		return fmt.Errorf("%w: %s/%s", ErrUnknownChild, s.spec.Name, name)
	}
	if running == nil {
		return nil
	}
	return running.RemoveAndWait(e.token, e.child.StopTimeout)
}

func (s *Supervisor) removeEntry(name string) *entry {
	for i, e := range s.children {
		if e.child.Name == name {
			s.children = append(s.children[:i:i], s.children[i+1:]...)
			return e
		}
	}
	return nil
}

func (s *Supervisor) eventHook(giveUp context.CancelCauseFunc) suture.EventHook {
	return func(event suture.Event) {
		switch e := event.(type) {
		case suture.EventServicePanic:
			s.log.Error("child panicked", zap.String("child", e.ServiceName),
				zap.String("panic", e.PanicMsg), zap.String("stack", e.Stacktrace))
		case suture.EventServiceTerminate:
			s.log.Warn("child failed", zap.String("child", e.ServiceName), zap.Any("error", e.Err))
		case suture.EventBackoff:
			s.log.Error("children fail too fast, giving up")
			giveUp(fmt.Errorf("%w: %s", ErrRestartStorm, s.spec.Name))
		case suture.EventStopTimeout:
			s.log.Error("child did not stop in time", zap.String("child", e.ServiceName))
		}
	}
}

// Start serves the duty on a new goroutine and returns a reply that will carry
// the result of Serve. Only the main function of a process uses it, for the
// root of the tree.
func Start(ctx context.Context, root Duty) ring.Reply[error] {
	ended := ring.NewReply[error]()
	go func() { ended.Send(root.Serve(ctx)) }()
	return ended
}
