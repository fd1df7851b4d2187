// Package scheduler is the root supervisor of kingcup-scheduler. It starts
// the control duties, the pool shards, the control listener and the drain
// duty, restarts each alone, and stops them in the reverse order: the drain
// duty first hands the shards over, then the listener finishes the calls in
// progress.
package scheduler

import (
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/control"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/drain"
	"kingcupcourse/internal/scheduler/inbox"
	"kingcupcourse/internal/scheduler/shards"
	"kingcupcourse/internal/scheduler/shards/shard"
	"kingcupcourse/internal/scheduler/shards/shard/journal/caller"
	"kingcupcourse/internal/scheduler/shards/shard/journal/owner"
	"kingcupcourse/internal/scheduler/shards/shard/queue"
	"kingcupcourse/internal/scheduler/views"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

const (
	// listenerGrace bounds how long calls in progress may take to finish
	// after the handover; they have all been answered by then.
	listenerGrace = 5 * time.Second
	// pollHeaderTimeout bounds how long an endpoint may take to answer.
	pollHeaderTimeout = time.Second

	defaultJournalFlush = 10 * time.Millisecond
)

// Control is what the scheduler needs of the control duties.
type Control interface {
	// Subscribe returns a ring with the newest view.
	Subscribe() control.Subscription
	// Register adds the handlers for other processes.
	Register(mux *http.ServeMux)
	// Supervisor returns the supervisor of the control duties.
	Supervisor() *supervisor.Supervisor
	// Leave tells the other processes that this one stops.
	Leave()
}

// Config sets a scheduler up.
type Config struct {
	Settings settings.Scheduler
	Control  Control
	Platform caller.Platform
	Log      *zap.Logger
}

// New returns the root supervisor. It fails if the control address cannot be
// bound.
func New(c Config) (*supervisor.Supervisor, error) {
	root, _, err := build(c)
	return root, err
}

func build(c Config) (*supervisor.Supervisor, *supervisor.HTTP, error) {
	in := ring.New[inbox.Shards]("shards", inbox.ShardsCapacity)
	mux := http.NewServeMux()
	c.Control.Register(mux)
	(&handlers{shards: in}).register(mux)
	listener, err := supervisor.Listen(c.Settings.Control, mux, listenerGrace)
	if err != nil {
		return nil, nil, err
	}
	root := supervisor.New(supervisor.Spec{
		Name: "scheduler",
		Children: []supervisor.Child{
			{Name: "control", Duty: c.Control.Supervisor()},
			{Name: "shards", Duty: shards.New(shardConfig(c), in)},
			{Name: "views", Duty: views.New(c.Control.Subscribe(), in)},
			{Name: "listener", Duty: listener},
			{Name: "drain", Duty: drain.New(c.Control.Leave, in)},
		},
	}, c.Log)
	return root, listener, nil
}

func shardConfig(c Config) shard.Config {
	flush := time.Duration(c.Settings.JournalFlushMS) * time.Millisecond
	if flush <= 0 {
		flush = defaultJournalFlush
	}
	return shard.Config{
		Host:         c.Settings.Host,
		Region:       c.Settings.Region,
		Owner:        c.Settings.Host + "/" + uuid.NewString(),
		Policy:       c.Settings.Policy,
		JournalFlush: flush,
		Platform:     c.Platform,
		Endpoints:    &http.Client{Transport: codec.NewTransport(pollHeaderTimeout)},
		Log:          c.Log,
	}
}

// Collectors returns the metrics of the scheduler.
func Collectors() []prometheus.Collector {
	return append(queue.Collectors(), owner.Collectors()...)
}
