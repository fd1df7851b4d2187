package supervisor

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
)

// ErrKilled is the failure of a child that Kill stopped.
var ErrKilled = errors.New("supervisor: killed by fault injection")

// service runs a duty and lets Kill fail it between two messages.
type service struct {
	duty Duty
	name string
	// onDone is called when the duty returns ErrDone.
	onDone func()

	mu     sync.Mutex
	cancel context.CancelCauseFunc
}

// String names the child in the supervisor's events.
func (g *service) String() string { return g.name }

// Serve implements suture.Service.
func (g *service) Serve(ctx context.Context) error {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	g.mu.Lock()
	g.cancel = cancel
	g.mu.Unlock()
	err := g.duty.Serve(inner)
	if errors.Is(context.Cause(inner), ErrKilled) {
		return ErrKilled
	}
	if errors.Is(err, ErrDone) {
		g.onDone()
	}
	return err
}

func (g *service) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cancel != nil {
		g.cancel(ErrKilled)
	}
}

// Paths lists the paths of all duties below this supervisor, such as
// "control/members".
func (s *Supervisor) Paths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, e := range s.children {
		names = append(names, e.child.Name)
		if e.nested == nil {
			continue
		}
		for _, below := range e.nested.Paths() {
			names = append(names, e.child.Name+"/"+below)
		}
	}
	return names
}

// Kill fails the duty at the path, as a fault would; its supervisor then
// restarts it. It returns ErrUnknownChild if there is none.
func (s *Supervisor) Kill(path string) error {
	name, below, nested := strings.Cut(path, "/")
	e := s.find(name)
	if e == nil || (nested && e.nested == nil) {
		return fmt.Errorf("%w: %s", ErrUnknownChild, path)
	}
	if nested {
		return e.nested.Kill(below)
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
