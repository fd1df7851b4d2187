// Package scheduler supervises the duties that are specific to
// kingcup-scheduler: the pool shards, the duty that forwards views to them, and
// the drain duty. Each child is restarted on its own. When the process stops,
// the drain duty hands the shards over while the control listener still serves;
// the shards stop after the listener.
package scheduler

import (
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/control"
	"kingcupcourse/internal/decision/placement"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/process"
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
	// pollHeaderTimeout limits how long an endpoint may take to send the
	// response headers of a poll.
	pollHeaderTimeout = time.Second

	defaultJournalFlushInterval = 10 * time.Millisecond
)

// Build returns the duties of kingcup-scheduler.
func Build(env *process.Environment, s *settings.Scheduler) (process.Duties, error) {
	if _, ok := placement.NewPolicy(s.Policy); !ok {
		return process.Duties{}, eris.Errorf("unknown policy %q", s.Policy)
	}
	env.Metrics.MustRegister(collectors()...)
	return build(config{Settings: *s, Views: env.Control.Subscribe(), Mux: env.ControlMux,
		Platform: env.Platform.WithTimeout(caller.CallTimeout), PublishFact: env.Control.Report, Log: env.Log}), nil
}

// config holds the dependencies of the duties.
type config struct {
	Settings settings.Scheduler
	Views    control.Subscription
	Mux      *http.ServeMux
	Platform caller.Platform
	// PublishFact sends a fact to all hosts.
	PublishFact func(message.Fact) error
	Log         *zap.Logger
}

func build(c config) process.Duties {
	in := ring.New[inbox.ManagerMessage]("shards", inbox.ManagerCapacity)
	(&handlers{shards: in}).register(c.Mux)
	tree := supervisor.New(supervisor.Spec{
		Name: "scheduler",
		Children: []supervisor.Child{
			{Name: "shards", Duty: shards.New(shardConfig(c), in)},
			{Name: "views", Duty: views.New(c.Views, in)},
		},
	}, c.Log)
	return process.Duties{
		BeforeListener: []supervisor.Child{{Name: "scheduler", Duty: tree}},
		AfterListener:  []supervisor.Child{{Name: "handover", Duty: drain.New(in)}},
	}
}

func shardConfig(c config) shard.Config {
	flush := c.Settings.JournalFlushMS.Duration()
	if flush <= 0 {
		flush = defaultJournalFlushInterval
	}
	return shard.Config{
		Host:                 c.Settings.Host,
		Region:               c.Settings.Region,
		OwnerID:              c.Settings.Host + "/" + uuid.NewString(),
		Policy:               c.Settings.Policy,
		JournalFlushInterval: flush,
		Platform:             c.Platform,
		EndpointClient:       &http.Client{Transport: codec.NewTransport(pollHeaderTimeout)},
		PublishFact:          c.PublishFact,
		Log:                  c.Log,
	}
}

// collectors returns the metrics of the scheduler.
func collectors() []prometheus.Collector {
	return append(queue.Collectors(), owner.Collectors()...)
}
