package budget

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	decision "kingcupcourse/internal/decision/budget"
)

// firstBodyBytes is the size of the first buffer for a body of unknown length.
const firstBodyBytes = 4 << 10

// restTimeout bounds how long the rest of a body is read that the handler has left unread.
const restTimeout = time.Second

// Handler returns a handler that tells the budget how far each request has come.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.progress()
		c.setPhase(decision.Serving)
		next.ServeHTTP(w, r)
		c.endRequest(r)
	})
}

// endRequest is called after the handler. net/http then reads a rest of the body.
func (c *Conn) endRequest(r *http.Request) {
	c.progress()
	c.setPhase(decision.Body)
	if r.ContentLength != 0 {
		_ = c.SetReadDeadline(time.Now().Add(restTimeout)) // fails only on a closed connection
	}
}

// MessageHandler is Handler for messages between processes, whose bodies are decoded as
// they arrive: what they take is reserved meanwhile.
func MessageHandler(next http.Handler) http.Handler {
	return Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil && r.ContentLength != 0 {
			c.setPhase(decision.Body)
			r.Body = &messageBody{ReadCloser: r.Body, c: c}
		}
		next.ServeHTTP(w, r)
	}))
}

// bytesPerMessageByte is what a byte of a message costs: as received and decoded.
const bytesPerMessageByte = 2

// messageBody reserves what it reads.
type messageBody struct {
	io.ReadCloser
	c *Conn
}

// Read implements io.Reader.
func (b *messageBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.c.progress()
		b.c.setPhase(decision.Serving)
	}
	if b.c.reserve(bytesPerMessageByte*int64(n), false) != nil {
		return 0, ErrNoRoom
	}
	return n, err
}

// ReadBody reads a request's body, whose length is -1 if not known. It returns ErrNoRoom if
// there is no room for it.
func ReadBody(ctx context.Context, body io.Reader, length int64) ([]byte, error) {
	c := connOf(ctx)
	if c != nil {
		c.setPhase(decision.Body)
		defer func() { c.progress(); c.setPhase(decision.Serving) }()
	}
	read, full, err := read(c, body, length, -1, false)
	if full {
		return nil, ErrNoRoom
	}
	return read, err
}

// ReadAnswer reads an answer of up to limit bytes, to hold it until it is complete. It
// returns what it has read, and whether that is all; the rest is then still to be read, as
// the answer is larger than the limit or there is no room to hold it.
func ReadAnswer(ctx context.Context, answer io.Reader, length, limit int64) (part []byte, complete bool, err error) {
	part, full, err := read(connOf(ctx), answer, length, limit, true)
	return part, !full, err
}

// GiveBack gives back the room of a part of an answer that is not held any more.
func GiveBack(ctx context.Context, part []byte) {
	if c := connOf(ctx); c != nil {
		c.used.Add(-int64(cap(part)))
	}
}

// read reads until the end, an error, the limit (-1 for none) or the end of the room; full
// reports the last two. The buffer doubles, so that room is reserved for what has come and
// not for what is announced.
func read(c *Conn, from io.Reader, length, limit int64, forAnswer bool) (buffer []byte, full bool, err error) {
	for {
		if len(buffer) == cap(buffer) {
			if limit >= 0 && int64(len(buffer)) > limit {
				return buffer, true, nil
			}
			next := nextCapacity(int64(cap(buffer)), length, limit)
			if c != nil && c.reserve(next, forAnswer) != nil {
				return buffer, true, nil
			}
			grown := make([]byte, len(buffer), next)
			copy(grown, buffer)
			if c != nil {
				c.used.Add(-int64(cap(buffer)))
			}
			buffer = grown
		}
		n, err := from.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, false, nil
		}
		if err != nil {
			return buffer, false, err
		}
	}
}

// nextCapacity returns the capacity after the current one. A byte more than the length or
// the limit shows the end.
func nextCapacity(current, length, limit int64) int64 {
	next := max(firstBodyBytes, 2*current)
	if length >= 0 && next > length {
		next = max(length+1, current+1)
	}
	if limit >= 0 {
		next = min(next, limit+1)
	}
	return next
}
