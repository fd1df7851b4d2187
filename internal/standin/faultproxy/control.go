package faultproxy

import (
	"context"
	"net"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// directions is how many copying duties a connection has.
const directions = 2

// control is the duty that owns the faults, the counters and the list of
// connections.
type control struct {
	inbox    *ring.Ring[message]
	door     *door
	settings Settings
	stats    Stats
	links    map[int]*link
}

// link is a connection of a caller and the one it is passed on to.
type link struct {
	client *net.TCPConn
	target *net.TCPConn
	// silent and halfClosed are the faults that struck this link.
	silent     bool
	halfClosed bool
	ended      int
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.target.Close()
}

// message is what the control duty is told or asked.
type message interface{ handle(c *control) }

// Serve implements supervisor.Duty.
func (c *control) Serve(ctx context.Context) error {
	return ring.Loop(ctx, c.inbox, func(m message) error { m.handle(c); return nil })
}

// opened reports a new link. The answer is its number, zero if it is cut.
type opened struct {
	ring.Reply[int]
	client *net.TCPConn
	target *net.TCPConn
}

func (m opened) handle(c *control) {
	c.stats.Connections++
	if c.settings.Cut {
		m.Send(0)
		return
	}
	c.links[c.stats.Connections] = &link{client: m.client, target: m.target}
	m.Send(c.stats.Connections)
}

// chunkRead reports bytes that were read and asks what to do with them.
type chunkRead struct {
	ring.Reply[verdict]
	link     int
	bytes    int
	toClient bool
}

// verdict is what happens to a chunk.
type verdict struct {
	settings Settings
	swallow  bool
}

func (m chunkRead) handle(c *control) {
	c.stats.Bytes += int64(m.bytes)
	l, open := c.links[m.link]
	swallow := !open || l.silent || l.halfClosed && m.toClient
	m.Send(verdict{settings: c.settings, swallow: swallow})
}

// directionEnded reports that one direction of a link has nothing more to
// copy. broken means that the other one is of no use either.
type directionEnded struct {
	link   int
	broken bool
}

func (m directionEnded) handle(c *control) {
	l, open := c.links[m.link]
	if !open {
		return
	}
	l.ended++
	if m.broken || l.ended == directions {
		l.close()
		delete(c.links, m.link)
	}
}

// faultOrdered changes the faults by a JSON order.
type faultOrdered struct {
	ring.Reply[error]
	order []byte
}

func (m faultOrdered) handle(c *control) {
	changed, err := c.settings.merge(m.order)
	if err == nil {
		err = c.apply(changed)
	}
	m.Send(err)
}

func (c *control) apply(changed Settings) error {
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
		return c.door.close()
	}
	return c.door.open()
}

// statsAsked reads the counters.
type statsAsked struct{ ring.Reply[Stats] }

func (m statsAsked) handle(c *control) {
	c.stats.Open = len(c.links)
	m.Send(c.stats)
}

// acceptName is the child that accepts connections.
const acceptName = "accept"

// door opens and closes the listener. It is owned by the control duty.
type door struct {
	tree   *supervisor.Supervisor
	accept *accept
	closed bool
}

func (d *door) close() error {
	if d.closed {
		return nil
	}
	d.closed = true
	return d.tree.Remove(acceptName)
}

func (d *door) open() error {
	if !d.closed {
		return nil
	}
	if err := d.accept.listen(); err != nil {
		return err
	}
	d.closed = false
	d.tree.Add(supervisor.Child{Name: acceptName, Duty: d.accept})
	return nil
}
