package budget

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var phases = []Phase{Idle, Head, Body, Serving, Answering}

// Guards against a budget that closes callers who wait for the host or have just made
// progress, or that passes by one who has stalled for longer than another.
func TestOldestStalledAreClosedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 1 << 20, Connections: 32}
		b, now := New(limits), time.Minute
		var holders []Holder
		byID := map[uint64]Holder{}
		for i := range rapid.IntRange(0, limits.Connections).Draw(t, "holders") {
			h := Holder{ID: uint64(i), Phase: rapid.SampledFrom(phases).Draw(t, "phase"),
				Bytes: rapid.Int64Range(1, 64<<10).Draw(t, "bytes"),
				Since: now - time.Duration(rapid.Int64Range(0, int64(3*MinStall)).Draw(t, "stall"))}
			holders, byID[h.ID] = append(holders, h), h
			b.Take(1, h.Bytes)
		}
		connections := rapid.IntRange(0, 1).Draw(t, "connections")
		bytes := rapid.Int64Range(0, 256<<10).Draw(t, "wanted")
		closed := b.ToClose(now, holders, connections, bytes)
		var newest time.Duration
		for _, h := range closed {
			if h.Phase == Serving || now-h.Since < MinStall {
				t.Errorf("closed %+v, which has not stalled", h)
			}
			newest = max(newest, h.Since)
			delete(byID, h.ID)
			b.Give(1, h.Bytes)
		}
		stalledLeft := 0
		for _, h := range byID {
			if h.Phase == Serving || now-h.Since < MinStall {
				continue
			}
			stalledLeft++
			if h.Since < newest {
				t.Errorf("%+v stays, though it has stalled for longer than another that goes", h)
			}
		}
		if stalledLeft > 0 && !b.HasRoom(connections, bytes, false) {
			t.Errorf("%d stalled connections stay and there is no room", stalledLeft)
		}
	})
}

// Guards against a budget that is passed by what it grants, or that leaves no part for the
// answers to requests that have arrived.
func TestGrantsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 1 << 20, Connections: 32}
		b := New(limits)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			connections, bytes := rapid.IntRange(0, 2).Draw(t, "connections"), rapid.Int64Range(0, 200<<10).Draw(t, "bytes")
			if b.HasRoom(connections, bytes, false) {
				b.Take(connections, bytes)
			}
		}
		if b.Bytes() > limits.Bytes || b.Connections() > limits.Connections {
			t.Errorf("%d bytes and %d connections are held, limits %+v", b.Bytes(), b.Connections(), limits)
		}
		if kept := limits.Bytes / 4; !b.HasRoom(0, kept, true) {
			t.Errorf("with %d bytes held there is no room for an answer of %d", b.Bytes(), kept)
		}
	})
}

// After a search that found nothing to close, the next is due when a connection may have
// stalled, and not before.
func TestNoSearchBeforeOneCanStall(t *testing.T) {
	b := New(Limits{Bytes: 1 << 20, Connections: 1})
	b.Take(1, 1)
	holder := Holder{ID: 1, Phase: Head, Bytes: 1, Since: 10 * time.Second}
	now := holder.Since + MinStall/2
	if got := b.ToClose(now, []Holder{holder}, 1, 1); len(got) != 0 {
		t.Fatalf("closed %+v", got)
	}
	if b.MaySearch(now) {
		t.Error("a search is due at once")
	}
	if now = holder.Since + MinStall; !b.MaySearch(now) {
		t.Error("no search is due when the connection has stalled")
	}
	if got := b.ToClose(now, []Holder{holder}, 1, 1); len(got) != 1 {
		t.Errorf("closed %+v, want the connection", got)
	}
}

func TestUnreadAnswersAreFoundAfterTheirTime(t *testing.T) {
	now := time.Hour
	for _, c := range []struct {
		holder Holder
		want   bool
	}{
		{Holder{Phase: Answering, Since: now - maxStall}, true},
		{Holder{Phase: Answering, Since: now - maxStall + 1}, false},
		{Holder{Phase: Serving, Since: 0}, false},
		{Holder{Phase: Idle, Since: 0}, false},
	} {
		if got := len(Unread(now, []Holder{c.holder})) == 1; got != c.want {
			t.Errorf("%+v: got %v, want %v", c.holder, got, c.want)
		}
	}
}

// The smallest machine that a host runs on has room for some hundred callers.
func TestLimitsFollowTheMachine(t *testing.T) {
	for _, c := range []struct {
		memory int64
		files  int
		want   Limits
	}{
		{96 << 20, 800, Limits{Bytes: 35232153, Connections: 300}},
		{284 << 20, 4100, Limits{Bytes: 104228454, Connections: 1950}},
		{0, 0, Limits{Bytes: 375809638, Connections: 1948}},
		{1 << 20, 10, Limits{Bytes: minBytes, Connections: minConnections}},
	} {
		if got := LimitsFor(c.memory, c.files); got != c.want {
			t.Errorf("%d bytes, %d descriptors: got %+v, want %+v", c.memory, c.files, got, c.want)
		}
	}
}

// The cost of a head must not depend on how it is cut into reads, and must count its lines
// up to its end, empty lines before it included.
func TestHeadMeter(t *testing.T) {
	head := "\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\na:\r\n\r\n"
	want := int64(bytesPerHeadByte*len(head) + bytesPerLine*strings.Count(head, "\n"))
	rapid.Check(t, func(t *rapid.T) {
		var m HeadMeter
		for rest := head + "body\n\nbody"; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			m.Add([]byte(rest[:n]))
			rest = rest[n:]
		}
		if m.Cost() != want {
			t.Errorf("the cost is %d, want %d", m.Cost(), want)
		}
	})
	var short, long HeadMeter
	short.Add([]byte(strings.Repeat("a:\r\n", 1000)))
	long.Add([]byte(fmt.Sprintf("a:%s\r\n", strings.Repeat("x", 4000))))
	if short.Cost() < 10*long.Cost() {
		t.Errorf("1000 short lines cost %d, one line as long %d", short.Cost(), long.Cost())
	}
}
