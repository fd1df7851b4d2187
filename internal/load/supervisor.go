// Package load is the supervisor of the load tool. One duty dispatches the
// requests when they are due, many duties simulate callers, one injects
// faults, and one collects the callers' samples.
package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/httpclient"
	"kingcupcourse/internal/load/caller"
	"kingcupcourse/internal/load/collector"
	"kingcupcourse/internal/load/experiment"
	"kingcupcourse/internal/load/faults"
	"kingcupcourse/internal/load/workload"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// startDelay gives all callers time to start before the first arrival.
	startDelay = 200 * time.Millisecond
	// drainGrace is how long the run waits for responses after the last
	// arrival, in addition to the longest deadline.
	drainGrace = 6 * time.Second
	// jobCapacity bounds the requests that are due and wait for a caller.
	jobCapacity = 4096
	// resendCapacity bounds the resends that wait to be scheduled.
	resendCapacity = 4096
	dialTimeout    = 2 * time.Second
)

// Runner runs an experiment once.
type Runner struct {
	experiment   *experiment.Experiment
	collector    *collector.Collector
	root         *supervisor.Supervisor
	start        time.Time
	arrivalsDone ring.Reply[struct{}]
	// expectedSamples is the number of requests of the run, including
	// resends.
	expectedSamples int
}

// New returns a runner whose experiment starts startDelay from now.
func New(e *experiment.Experiment, log *zap.Logger) *Runner {
	r := &Runner{experiment: e, collector: collector.New(), start: time.Now().Add(startDelay),
		arrivalsDone: ring.NewReply[struct{}]()}
	arrivals := workload.Generate(e)
	r.expectedSamples = countRequests(arrivals)
	jobs := ring.New[caller.Job]("load_jobs", jobCapacity)
	resends := ring.New[caller.Job]("load_resends", resendCapacity)
	client := newClient(e.MaxInFlight)
	r.root = supervisor.New(supervisor.Spec{Name: "load", Children: []supervisor.Child{
		{Name: "collector", Duty: r.collector},
		{Name: "callers", Duty: r.newCallers(jobs, resends, client, log)},
		{Name: "faults", Duty: faults.New(e, r.start, client, log)},
		{Name: "arrivals", Duty: &dispatcher{start: r.start, pending: arrivals, jobs: jobs,
			resends: resends, done: r.arrivalsDone}},
	}}, log)
	return r
}

func (r *Runner) newCallers(jobs, resends *ring.Ring[caller.Job], client *http.Client, log *zap.Logger) *supervisor.Supervisor {
	spec := supervisor.Spec{Name: "callers"}
	for i := range r.experiment.MaxInFlight {
		spec.Children = append(spec.Children, supervisor.Child{Name: fmt.Sprintf("caller-%d", i),
			Duty: caller.New(jobs, resends, r.collector, client, r.experiment)})
	}
	return supervisor.New(spec, log)
}

// newClient returns a client that keeps up to one idle connection for each
// caller. The load tool resends only what the workload plans, but net/http
// resends a GET or a request with an Idempotency-Key if a reused connection
// fails before the response.
func newClient(callers int) *http.Client {
	return &http.Client{Transport: &httpclient.Transport{Transport: &http.Transport{
		DialContext:         httpclient.DialContext(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConns:        callers,
		MaxIdleConnsPerHost: callers,
	}}}
}

// Run runs the experiment to its end and returns the samples. It returns the
// context's error if the context ends first.
func (r *Runner) Run(ctx context.Context) ([]collector.Sample, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	stopped := supervisor.Start(ctx, r.root)
	if _, err := r.arrivalsDone.Wait(ctx); err != nil {
		return nil, err
	}
	samples, err := r.waitForResponses(ctx)
	if err != nil {
		return nil, err
	}
	stop()
	_, _ = stopped.Wait(context.Background())
	return samples, nil
}

// waitForResponses waits until every request has a sample, but no longer than
// the longest deadline plus drainGrace, and returns the samples collected.
func (r *Runner) waitForResponses(ctx context.Context) ([]collector.Sample, error) {
	limited, cancel := context.WithTimeout(ctx, r.longestDeadline()+drainGrace)
	defer cancel()
	samples, err := r.collector.Samples(limited, r.expectedSamples)
	if err != nil && ctx.Err() == nil {
		return r.collector.Samples(ctx, 0)
	}
	return samples, err
}

func countRequests(arrivals []workload.Arrival) int {
	count := len(arrivals)
	for i := range arrivals {
		if arrivals[i].Resend {
			count++
		}
	}
	return count
}

func (r *Runner) longestDeadline() time.Duration {
	longest := int64(0)
	for _, c := range r.experiment.Classes {
		longest = max(longest, c.DeadlineMS)
	}
	return time.Duration(longest) * time.Millisecond
}
