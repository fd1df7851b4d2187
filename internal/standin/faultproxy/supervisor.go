// Package faultproxy is a TCP proxy that injects faults into connections.
package faultproxy

import (
	"context"

	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// inboxCapacity is the number of messages that may wait for the control duty.
const inboxCapacity = 1024

// Proxy is a supervisor of three children, started in this order and stopped in
// reverse order: the control duty, which after a restart has the faults it had
// before; a supervisor of the copy duties, two for each connection, which are
// never restarted; and the accept duty, which a fault may remove and add again.
type Proxy struct {
	name  string
	inbox *ring.Ring[message]
	tree  *supervisor.Supervisor

	address string
}

// New binds the address and returns a proxy that is not yet running.
func New(config Config, log *zap.Logger) (*Proxy, error) {
	inbox := ring.New[message]("standin_proxy", inboxCapacity)
	copyDuties := supervisor.New(supervisor.Spec{Name: "copies"}, log)
	acceptor := &acceptDuty{address: config.Address, target: config.Target, inbox: inbox, copyDuties: copyDuties}
	if err := acceptor.listen(); err != nil {
		return nil, err
	}
	// A listener that is opened again uses the same port.
	acceptor.address = acceptor.listener.Addr().String()
	listener := &reopenableListener{acceptor: acceptor}
	listener.tree = supervisor.New(supervisor.Spec{Name: config.Name, Children: []supervisor.Child{
		{Name: "control", Duty: &controlDuty{inbox: inbox, listener: listener, links: map[int]*link{}}},
		{Name: "copies", Duty: copyDuties},
		{Name: acceptName, Duty: acceptor},
	}}, log)
	return &Proxy{name: config.Name, inbox: inbox, tree: listener.tree, address: acceptor.address}, nil
}

// Name returns the name in the admin paths.
func (p *Proxy) Name() string { return p.name }

// Address returns the bound address, including the port.
func (p *Proxy) Address() string { return p.address }

// Supervisor returns the supervisor to run.
func (p *Proxy) Supervisor() *supervisor.Supervisor { return p.tree }

// SetFault applies a JSON patch to the fault settings. It returns
// ErrInvalidFault if the patch is not valid.
func (p *Proxy) SetFault(ctx context.Context, patch []byte) error {
	m := patchSettings{Reply: ring.NewReply[error](), patch: patch}
	applied, err := call(ctx, p, m, m.Reply)
	if err != nil {
		return err
	}
	return applied
}

// Stats returns the counters as a Stats.
func (p *Proxy) Stats(ctx context.Context) (any, error) {
	m := getStats{Reply: ring.NewReply[Stats]()}
	return call(ctx, p, m, m.Reply)
}

// call sends a message to the control duty and waits for the reply.
func call[T any](ctx context.Context, p *Proxy, m message, reply ring.Reply[T]) (T, error) {
	if err := p.inbox.Put(ctx, m); err != nil {
		var zero T
		return zero, err
	}
	return reply.Wait(ctx)
}
