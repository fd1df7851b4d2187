package faultproxy

import (
	"context"
	"net"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// directionsPerLink is how many copying duties a connection has.
const directionsPerLink = 2

// controlDuty is the duty that owns the faults, the counters and the list of
// connections.
type controlDuty struct {
	inbox    *ring.Ring[message]
	listener *reopenableListener
	settings Settings
	stats    Stats
	links    map[int]*link
}

// link is a connection of a caller and the one it is passed on to.
type link struct {
	client *net.TCPConn
	target *net.TCPConn
	// silent and halfClosed are the faults that struck this link.
	silent          bool
	halfClosed      bool
	endedDirections int
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.target.Close()
}

// message is what the control duty is told or asked.
type message interface{ handle(c *controlDuty) }

// Serve implements supervisor.Duty.
func (c *controlDuty) Serve(ctx context.Context) error {
	return ring.Loop(ctx, c.inbox, func(m message) error { m.handle(c); return nil })
}

// openLink reports a new link. The answer is its number, zero if it is cut.
type openLink struct {
	ring.Reply[int]
	client *net.TCPConn
	target *net.TCPConn
}

func (m openLink) handle(c *controlDuty) {
	c.stats.Connections++
	if c.settings.Cut {
		m.Send(0)
		return
	}
	c.links[c.stats.Connections] = &link{client: m.client, target: m.target}
	m.Send(c.stats.Connections)
}

// decideChunk reports bytes that were read and asks what to do with them.
type decideChunk struct {
	ring.Reply[decision]
	link     int
	bytes    int
	toClient bool
}

// decision is what happens to a chunk.
type decision struct {
	settings Settings
	discard  bool
}

func (m decideChunk) handle(c *controlDuty) {
	c.stats.Bytes += int64(m.bytes)
	l, open := c.links[m.link]
	swallow := !open || l.silent || l.halfClosed && m.toClient
	m.Send(decision{settings: c.settings, discard: swallow})
}

// directionEnded reports that one direction of a link has nothing more to
// copy. broken means that the other one is of no use either.
type directionEnded struct {
	link   int
	broken bool
}

func (m directionEnded) handle(c *controlDuty) {
	l, open := c.links[m.link]
	if !open {
		return
	}
	l.endedDirections++
	if m.broken || l.endedDirections == directionsPerLink {
		l.close()
		delete(c.links, m.link)
	}
}

// patchSettings changes the faults by a JSON order.
type patchSettings struct {
	ring.Reply[error]
	patch []byte
}

func (m patchSettings) handle(c *controlDuty) {
	changed, err := c.settings.merge(m.patch)
	if err == nil {
		err = c.apply(changed)
	}
	m.Send(err)
}

func (c *controlDuty) apply(changed Settings) error {
	c.settings = changed
	for number, l := range c.links {
		l.silent = l.silent || changed.BlackHole
		if changed.HalfClose && !l.halfClosed {
			l.halfClosed = true
			_ = l.client.CloseWrite()
		}
		if changed.Cut {
			l.close()
			delete(c.links, number)
		}
	}
	if changed.Refuse {
		return c.listener.close()
	}
	return c.listener.open()
}

// getStats reads the counters.
type getStats struct{ ring.Reply[Stats] }

func (m getStats) handle(c *controlDuty) {
	c.stats.Open = len(c.links)
	m.Send(c.stats)
}

// acceptName is the child that accepts connections.
const acceptName = "accept"

// reopenableListener opens and closes the listener. It is owned by the control duty.
type reopenableListener struct {
	tree     *supervisor.Supervisor
	acceptor *acceptDuty
	closed   bool
}

func (d *reopenableListener) close() error {
	if d.closed {
		return nil
	}
	d.closed = true
	return d.tree.Remove(acceptName)
}

func (d *reopenableListener) open() error {
	if !d.closed {
		return nil
	}
	if err := d.acceptor.listen(); err != nil {
		return err
	}
	d.closed = false
	d.tree.Add(supervisor.Child{Name: acceptName, Duty: d.acceptor})
	return nil
}
