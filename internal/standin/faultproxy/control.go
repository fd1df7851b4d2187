package faultproxy

import (
	"context"
	"net"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// directionsPerLink is the number of copy duties of a link.
const directionsPerLink = 2

// controlDuty owns the fault settings, the counters and the links.
type controlDuty struct {
	inbox    *ring.Ring[message]
	listener *reopenableListener
	settings Settings
	stats    Stats
	links    map[int]*link
}

// link is a client connection and the matching connection to the target.
type link struct {
	client *net.TCPConn
	target *net.TCPConn
	// silent and halfClosed are the faults injected into this link.
	silent          bool
	halfClosed      bool
	endedDirections int
}

func (l *link) close() {
	_ = l.client.Close()
	_ = l.target.Close()
}

// message is a command or a query to the control duty.
type message interface{ handle(c *controlDuty) }

// Serve implements supervisor.Duty.
func (c *controlDuty) Serve(ctx context.Context) error {
	return ring.Loop(ctx, c.inbox, func(m message) error { m.handle(c); return nil })
}

// openLink registers a new link. The reply is its number, zero if the link must
// be closed.
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

// decideChunk reports bytes that were read and asks which faults apply to them.
type decideChunk struct {
	ring.Reply[decision]
	link     int
	bytes    int
	toClient bool
}

// decision tells which faults apply to a chunk.
type decision struct {
	settings Settings
	discard  bool
}

func (m decideChunk) handle(c *controlDuty) {
	c.stats.Bytes += int64(m.bytes)
	l, open := c.links[m.link]
	discard := !open || l.silent || l.halfClosed && m.toClient
	m.Send(decision{settings: c.settings, discard: discard})
}

// directionEnded reports that one direction of a link is finished. broken means
// that the other direction is unusable too.
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

// patchSettings applies a JSON patch to the faults.
type patchSettings struct {
	ring.Reply[error]
	patch []byte
}

func (m patchSettings) handle(c *controlDuty) {
	changed, err := c.settings.merge(m.patch)
	if err == nil {
		err = c.applySettings(changed)
	}
	m.Send(err)
}

func (c *controlDuty) applySettings(changed Settings) error {
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

// acceptName is the name of the child duty that accepts connections.
const acceptName = "accept"

// reopenableListener closes the listener and opens it again. The control duty
// owns it.
type reopenableListener struct {
	tree     *supervisor.Supervisor
	acceptor *acceptDuty
	closed   bool
}

func (r *reopenableListener) close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	return r.tree.Remove(acceptName)
}

func (r *reopenableListener) open() error {
	if !r.closed {
		return nil
	}
	if err := r.acceptor.listen(); err != nil {
		return err
	}
	r.closed = false
	r.tree.Add(supervisor.Child{Name: acceptName, Duty: r.acceptor})
	return nil
}
