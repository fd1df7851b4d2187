// Package journal supervises the duties of a pool's journal: the owner, the
// writer and the readers. Each child is restarted on its own, and the owner
// stops first.
package journal

import (
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	machine "kingcupcourse/internal/decision/journal"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
	"kingcupcourse/internal/scheduler/shards/shard/journal/caller"
	"kingcupcourse/internal/scheduler/shards/shard/journal/owner"
	"kingcupcourse/internal/supervisor"
)

const (
	defaultSlots     = 256
	defaultRetention = time.Hour
	defaultClockSkew = 5 * time.Second
	// ownershipSettleTime is longer than processes that start at the same time
	// need to discover each other.
	ownershipSettleTime = 500 * time.Millisecond
	// callCapacity is the size of the ring of one caller. The owner retries
	// calls that do not fit.
	callCapacity = 64
)

// Config configures the journal of one pool.
type Config struct {
	Shard ownership.Shard
	Pool  manifest.Pool
	// OwnerID identifies this run of the process. It must be unique among
	// all processes and across restarts.
	OwnerID string
	// FlushInterval is the minimum time between two writes.
	FlushInterval time.Duration
	Inbox         *ring.Ring[inbox.JournalMessage]
	Queue         *ring.Ring[inbox.QueueMessage]
	Platform      caller.Platform
	Log           *zap.Logger
}

// New returns the supervisor of a pool's journal.
func New(c Config) *supervisor.Supervisor {
	writer := ring.New[machine.Op]("journal_writer", callCapacity)
	readers := make([]*ring.Ring[machine.Op], inbox.JournalReaders)
	children := []supervisor.Child{
		{Name: "writer", Duty: caller.New(c.Shard, writer, c.Inbox, c.Platform, c.Log)},
	}
	for i := range readers {
		readers[i] = ring.New[machine.Op]("journal_reader", callCapacity)
		children = append(children, supervisor.Child{Name: fmt.Sprintf("reader-%d", i),
			Duty: caller.New(c.Shard, readers[i], c.Inbox, c.Platform, c.Log)})
	}
	children = append(children, supervisor.Child{Name: "owner", Duty: owner.New(owner.Config{
		Pool: c.Pool.Name, Machine: newMachine(c), Inbox: c.Inbox, Queue: c.Queue,
		Writer: writer, Readers: readers, Log: c.Log})})
	return supervisor.New(supervisor.Spec{Name: "journal", Children: children}, c.Log)
}

func newMachine(c Config) *machine.Machine {
	return machine.New(machine.Config{
		Owner:            c.OwnerID,
		Slots:            orDefault(c.Pool.JournalSlots, defaultSlots),
		Retention:        durationOrDefault(c.Pool.RetentionMS, defaultRetention),
		ClockSkew:        durationOrDefault(c.Pool.ClockSkewMS, defaultClockSkew),
		MinWriteInterval: c.FlushInterval,
		TakeoverDelay:    ownershipSettleTime,
		Rand:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

func orDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

func durationOrDefault(ms int64, fallback time.Duration) time.Duration {
	if ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return fallback
}
