package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// dialTimeout limits the time to connect to the target.
	dialTimeout = 5 * time.Second
	// chunkBytes is the size of the read buffer.
	chunkBytes = 32 << 10
)

// acceptDuty accepts connections and starts a forwardDuty for each.
type acceptDuty struct {
	address    string
	target     string
	listener   net.Listener
	inbox      *ring.Ring[message]
	copyDuties *supervisor.Supervisor
	accepted   int
}

func (a *acceptDuty) listen() (err error) {
	a.listener, err = net.Listen("tcp", a.address)
	return err
}

// Serve implements supervisor.Duty.
func (a *acceptDuty) Serve(ctx context.Context) error {
	if a.listener == nil {
		if err := a.listen(); err != nil {
			return err
		}
	}
	listener := a.listener
	defer func() { _ = listener.Close(); a.listener = nil }()
	defer supervisor.CloseOnDone(ctx, listener)()
	for {
		client, err := listener.Accept()
		if err != nil {
			return errors.Join(ctx.Err(), err)
		}
		a.accepted++
		name := fmt.Sprintf("link-%d", a.accepted)
		a.copyDuties.Add(supervisor.Child{Name: name, Duty: &forwardDuty{
			name: name, target: a.target, client: client.(*net.TCPConn), inbox: a.inbox, copyDuties: a.copyDuties}})
	}
}

// forwardDuty opens a link, starts a copyDuty for the opposite direction, and
// copies from the client to the target.
type forwardDuty struct {
	name       string
	target     string
	client     *net.TCPConn
	inbox      *ring.Ring[message]
	copyDuties *supervisor.Supervisor
}

// Serve implements supervisor.Duty.
func (f *forwardDuty) Serve(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", f.target)
	if err != nil {
		_ = f.client.Close()
		return supervisor.ErrDone
	}
	target := connection.(*net.TCPConn)
	number, err := f.open(ctx, target)
	if err != nil || number == 0 {
		_ = f.client.Close()
		_ = target.Close()
		return supervisor.ErrDone
	}
	f.copyDuties.Add(supervisor.Child{Name: f.name + "-back", Duty: &copyDuty{
		link: number, from: target, to: f.client, toClient: true, inbox: f.inbox}})
	out := copyDuty{link: number, from: f.client, to: target, inbox: f.inbox}
	return out.Serve(ctx)
}

func (f *forwardDuty) open(ctx context.Context, target *net.TCPConn) (int, error) {
	m := openLink{Reply: ring.NewReply[int](), client: f.client, target: target}
	if err := f.inbox.Put(ctx, m); err != nil {
		return 0, err
	}
	return m.Wait(ctx)
}

// copyDuty copies one direction of a link.
type copyDuty struct {
	link     int
	from     *net.TCPConn
	to       *net.TCPConn
	toClient bool
	inbox    *ring.Ring[message]
}

// Serve implements supervisor.Duty.
func (d *copyDuty) Serve(ctx context.Context) error {
	defer supervisor.CloseOnDone(ctx, d.from)()
	err := d.copy(ctx)
	if errors.Is(err, io.EOF) {
		err = d.to.CloseWrite()
	}
	if d.inbox.Put(ctx, directionEnded{link: d.link, broken: err != nil}) != nil {
		_ = d.from.Close()
		_ = d.to.Close()
	}
	return supervisor.ErrDone
}

// copy forwards chunks until an error occurs, io.EOF if the sender has finished.
func (d *copyDuty) copy(ctx context.Context) error {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := d.from.Read(chunk)
		if n > 0 {
			if forwardErr := d.forwardChunk(ctx, chunk[:n]); forwardErr != nil {
				return forwardErr
			}
		}
		if err != nil {
			return err
		}
	}
}

// forwardChunk writes a chunk to the peer, subject to the faults.
func (d *copyDuty) forwardChunk(ctx context.Context, chunk []byte) error {
	m := decideChunk{Reply: ring.NewReply[decision](), link: d.link, bytes: len(chunk), toClient: d.toClient}
	if err := d.inbox.Put(ctx, m); err != nil {
		return err
	}
	decision, err := m.Wait(ctx)
	if err != nil || decision.discard {
		return err
	}
	if err = ring.Pause(ctx, decision.settings.delay()); err != nil {
		return err
	}
	_, err = d.to.Write(chunk)
	return err
}
