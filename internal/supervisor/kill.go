package supervisor

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
)

// ErrKilled is the error of a child that was stopped by Kill.
var ErrKilled = errors.New("supervisor: killed by fault injection")

// service runs a duty under suture and lets Kill fail it between two messages.
type service struct {
	duty Duty
	name string
	// onDone is called when the duty returns ErrDone.
	onDone func()

	mu     sync.Mutex
	cancel context.CancelCauseFunc
}

// String returns the child's name for the supervisor's events.
func (s *service) String() string { return s.name }

// Serve implements suture.Service.
func (s *service) Serve(ctx context.Context) error {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	err := s.duty.Serve(inner)
	if errors.Is(context.Cause(inner), ErrKilled) {
		return ErrKilled
	}
	if errors.Is(err, ErrDone) {
		s.onDone()
	}
	return err
}

func (s *service) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel(ErrKilled)
	}
}

// Paths returns the paths of all descendants of this supervisor, such as
// "control/members".
func (s *Supervisor) Paths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var paths []string
	for _, e := range s.children {
		paths = append(paths, e.child.Name)
		if e.nested == nil {
			continue
		}
		for _, path := range e.nested.Paths() {
			paths = append(paths, e.child.Name+"/"+path)
		}
	}
	return paths
}

// Kill makes the duty at the path fail, and its supervisor then restarts it. It
// returns ErrUnknownChild if there is no such duty.
func (s *Supervisor) Kill(path string) error {
	name, rest, nested := strings.Cut(path, "/")
	e := s.find(name)
	if e == nil || (nested && e.nested == nil) {
		return fmt.Errorf("%w: %s", ErrUnknownChild, path)
	}
	if nested {
		return e.nested.Kill(rest)
	}
	e.service.kill()
	return nil
}

func (s *Supervisor) find(name string) *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.children {
		if e.child.Name == name {
			return e
		}
	}
	return nil
}
