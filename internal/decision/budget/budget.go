// Package budget decides which connections of callers a host has room for: what all of
// them together may hold in memory, who is refused, and who has to go.
package budget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// defaultMemory and defaultFiles describe the machine if nothing is known of it.
	defaultMemory = 1 << 30
	defaultFiles  = 4096
	// memoryShare is the share of the machine's memory that callers may hold. The rest
	// is for what the process knows, and for garbage until it is collected.
	memoryShare = 0.35
	// minBytes is the least budget: room for a few requests of several MB.
	minBytes = 16 << 20
	// peerMemoryShare is the share that the connections of other processes may hold.
	peerMemoryShare = 0.1
	// reservedFiles is how many descriptors are not for connections.
	reservedFiles = 200
	// filesPerCaller is how many descriptors a caller needs: its own connection and one
	// to an endpoint.
	filesPerCaller = 2
	// filesPerPeer leaves a quarter of the descriptors to other processes.
	filesPerPeer = 4
	// minConnections is the least number of connections.
	minConnections = 16
	// keptShare is the share of the bytes that is kept for requests that have arrived
	// whole, so that those still arriving can't take the room of their answers.
	keptShare = 0.25
	// MinStall is how long a connection must have made no progress before it may be
	// closed for others.
	MinStall = time.Second
	// maxStall is how long a caller may leave an answer unread.
	maxStall = 30 * time.Second
	// freedShare is the share of the budget that is freed at once, so that not each new
	// caller needs a search of its own.
	freedShare = 0.125
	// calmShare is the share of the budget up to which every connection is accepted.
	calmShare = 0.5
)

// Phase says what a connection waits for.
type Phase int32

// The phases of a connection.
const (
	// Idle is between two requests, also before the first.
	Idle Phase = iota
	// Head is inside the head of a request.
	Head
	// Body is inside the body of a request.
	Body
	// Serving means that the caller waits for the host.
	Serving
	// Answering means that the host waits for the caller to read.
	Answering
)

// String returns the phase's name in metrics.
func (p Phase) String() string {
	return [...]string{"idle", "head", "body", "serving", "answer"}[p]
}

// Holder is a connection as the decision sees it.
type Holder struct {
	ID    uint64
	Phase Phase
	Bytes int64
	// Since is when it last made progress.
	Since time.Duration
}

// Limits bound what all connections hold together.
type Limits struct {
	Bytes       int64
	Connections int
}

// LimitsFor returns the limits on a machine with this memory, in bytes, and this number of
// descriptors; zero stands for the default.
func LimitsFor(memory int64, files int) Limits {
	memory, files = cmp.Or(memory, defaultMemory), cmp.Or(files, defaultFiles)
	return Limits{
		Bytes:       max(minBytes, int64(float64(memory)*memoryShare)),
		Connections: max(minConnections, (files-reservedFiles)/filesPerCaller),
	}
}

// PeerLimitsFor is LimitsFor for the connections of other processes, which have a budget of
// their own.
func PeerLimitsFor(memory int64, files int) Limits {
	memory, files = cmp.Or(memory, defaultMemory), cmp.Or(files, defaultFiles)
	return Limits{
		Bytes:       max(minBytes, int64(float64(memory)*peerMemoryShare)),
		Connections: max(minConnections, (files-reservedFiles)/filesPerPeer),
	}
}

// Budget counts what the connections hold. Times are durations since any fixed moment.
type Budget struct {
	limits      Limits
	bytes       int64
	connections int
	// nextSearch is the earliest time at which a search for connections to close can
	// find one, after a search that found none.
	nextSearch time.Duration
}

// New returns an empty budget.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

// Limits returns the limits.
func (b *Budget) Limits() Limits { return b.limits }

// Bytes returns how many bytes are held.
func (b *Budget) Bytes() int64 { return b.bytes }

// Connections returns the number of connections.
func (b *Budget) Connections() int { return b.connections }

// Calm reports whether there is room for every caller.
func (b *Budget) Calm() bool {
	return float64(b.bytes) < calmShare*float64(b.limits.Bytes) &&
		float64(b.connections) < calmShare*float64(b.limits.Connections)
}

// HasRoom reports whether there is room for connections and bytes. Only the answer to a
// request that has arrived may use the part that is kept for answers.
func (b *Budget) HasRoom(connections int, bytes int64, forAnswer bool) bool {
	limit := b.limits.Bytes
	if !forAnswer {
		limit -= int64(keptShare * float64(limit))
	}
	return (connections <= 0 || b.connections+connections <= b.limits.Connections) &&
		(bytes <= 0 || b.bytes+bytes <= limit)
}

// Take counts connections and bytes as held, whether or not there is room.
func (b *Budget) Take(connections int, bytes int64) {
	b.connections += connections
	b.bytes += bytes
}

// Give counts connections and bytes as free again.
func (b *Budget) Give(connections int, bytes int64) {
	b.connections -= connections
	b.bytes -= bytes
}

// MaySearch reports whether a search for connections to close can find one.
func (b *Budget) MaySearch(now time.Duration) bool { return now >= b.nextSearch }

// ToClose returns the connections to close so that there is room for this many more
// connections and bytes: those that have made no progress for the longest time come first.
// A caller that waits for the host is never among them.
func (b *Budget) ToClose(now time.Duration, holders []Holder, connections int, bytes int64) []Holder {
	stalled := slices.DeleteFunc(slices.Clone(holders), func(h Holder) bool {
		return h.Phase == Serving || now-h.Since < MinStall
	})
	slices.SortFunc(stalled, func(x, y Holder) int {
		return cmp.Or(cmp.Compare(x.Since, y.Since), cmp.Compare(x.ID, y.ID))
	})
	bytes += int64(freedShare * float64(b.limits.Bytes))
	connections += int(freedShare * float64(b.limits.Connections))
	var freed int64
	for i, h := range stalled {
		if b.HasRoom(connections-i, bytes-freed, false) {
			return stalled[:i]
		}
		freed += h.Bytes
	}
	if len(stalled) == 0 {
		b.nextSearch = nextStall(now, holders)
	}
	return stalled
}

// nextStall returns when the next of the connections that are not stalled may be.
func nextStall(now time.Duration, holders []Holder) time.Duration {
	next := now + MinStall
	for _, h := range holders {
		if h.Phase != Serving {
			next = min(next, h.Since+MinStall)
		}
	}
	return next
}

// Unread returns the connections whose callers have not read their answers for too long.
func Unread(now time.Duration, holders []Holder) []Holder {
	return slices.DeleteFunc(slices.Clone(holders), func(h Holder) bool {
		return h.Phase != Answering || now-h.Since < maxStall
	})
}
