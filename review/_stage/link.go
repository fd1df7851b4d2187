package main

import (
	"io"
	"net"
	"sync"
)

// link is the network between one host and the store. While it is cut, nothing passes, and
// whatever was open then stays silent.
type link struct {
	target   string
	listener net.Listener

	mu   sync.Mutex
	cut  bool
	open map[*pair]bool
}

// pair is one connection over the link.
type pair struct {
	near, far net.Conn
	silent    bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{target: target, listener: listener, open: map[*pair]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l.mu.Lock()
		p := &pair{near: near, far: far, silent: l.cut}
		l.open[p] = true
		l.mu.Unlock()
		go l.copy(p, near, far)
		go l.copy(p, far, near)
	}
}

// copy passes bytes on until the connection is silent, and then drops them.
func (l *link) copy(p *pair, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent := p.silent
		l.mu.Unlock()
		if n > 0 && !silent {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = io.EOF
			}
		}
		if err == nil {
			continue
		}
		// The end of a silent connection does not pass either.
		_ = from.Close()
		if !silent {
			_ = to.Close()
		}
		l.mu.Lock()
		delete(l.open, p)
		l.mu.Unlock()
		return
	}
}

// setCut cuts the link, or restores it for new connections.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for p := range l.open {
		p.silent = p.silent || cut
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		_ = p.near.Close()
		_ = p.far.Close()
	}
}
