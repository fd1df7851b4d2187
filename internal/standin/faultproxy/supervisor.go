// Package faultproxy is a TCP proxy that spoils the connections through it.
package faultproxy

import (
	"context"

	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// inboxCapacity is how many messages may wait for the control duty.
const inboxCapacity = 1024

// Proxy is a supervisor of three children, started in this order and
// stopped in the reverse one: the control duty, which starts again with the
// faults it had; the copies, a supervisor to which each connection adds two
// duties that are never restarted; and the accepting duty, which a fault
// may remove and add again.
type Proxy struct {
	name  string
	inbox *ring.Ring[message]
	tree  *supervisor.Supervisor

	address string
}

// New binds the address and returns a proxy that is not yet running.
func New(config Config, log *zap.Logger) (*Proxy, error) {
	inbox := ring.New[message]("standin_proxy", inboxCapacity)
	copies := supervisor.New(supervisor.Spec{Name: "copies"}, log)
	taking := &acceptDuty{address: config.Address, target: config.Target, inbox: inbox, copyDuties: copies}
	if err := taking.listen(); err != nil {
		return nil, err
	}
	// A listener that is opened again gets the port of the first one.
	taking.address = taking.listener.Addr().String()
	gate := &reopenableListener{acceptor: taking}
	gate.tree = supervisor.New(supervisor.Spec{Name: config.Name, Children: []supervisor.Child{
		{Name: "control", Duty: &controlDuty{inbox: inbox, listener: gate, links: map[int]*link{}}},
		{Name: "copies", Duty: copies},
		{Name: acceptName, Duty: taking},
	}}, log)
	return &Proxy{name: config.Name, inbox: inbox, tree: gate.tree, address: taking.address}, nil
}

// Name returns the name in the admin paths.
func (p *Proxy) Name() string { return p.name }

// Address returns the bound address with its port.
func (p *Proxy) Address() string { return p.address }

// Supervisor returns the tree to run.
func (p *Proxy) Supervisor() *supervisor.Supervisor { return p.tree }

// SetFault changes the faults by a JSON order. It returns ErrBadFault for
// an order that is not valid.
func (p *Proxy) SetFault(ctx context.Context, order []byte) error {
	m := patchSettings{Reply: ring.NewReply[error](), patch: order}
	applied, err := call(ctx, p, m, m.Reply)
	if err != nil {
		return err
	}
	return applied
}

// Stats returns the counters, a Stats.
func (p *Proxy) Stats(ctx context.Context) (any, error) {
	m := getStats{Reply: ring.NewReply[Stats]()}
	return call(ctx, p, m, m.Reply)
}

// call puts the message into the control ring and waits for the reply.
func call[T any](ctx context.Context, p *Proxy, m message, reply ring.Reply[T]) (T, error) {
	if err := p.inbox.Put(ctx, m); err != nil {
		var none T
		return none, err
	}
	return reply.Wait(ctx)
}
