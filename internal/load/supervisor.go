// Package load is the supervisor of the load tool: one duty hands out the
// arrivals when they are due, many play callers, one brings about faults,
// and one collects what the callers saw.
package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/load/caller"
	"kingcupcourse/internal/load/collector"
	"kingcupcourse/internal/load/experiment"
	"kingcupcourse/internal/load/faults"
	"kingcupcourse/internal/load/workload"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// startDelay lets all callers start before the first arrival.
	startDelay = 200 * time.Millisecond
	// drainGrace is how much longer than the longest deadline the run waits
	// for answers after the last arrival.
	drainGrace = 6 * time.Second
	// jobCapacity bounds the arrivals that are due and wait for a caller.
	jobCapacity = 4096
	// resendCapacity bounds the resends that wait to be scheduled.
	resendCapacity = 4096
	dialTimeout    = 2 * time.Second
)

// Runner is one run of an experiment.
type Runner struct {
	experiment   *experiment.Experiment
	collector    *collector.Collector
	root         *supervisor.Supervisor
	start        time.Time
	arrivalsDone ring.Reply[struct{}]
	// expectedSamples is how many samples the run gives, resends included.
	expectedSamples int
}

// New prepares a run that starts within startDelay after now.
func New(e *experiment.Experiment, log *zap.Logger) *Runner {
	t := &Runner{experiment: e, collector: collector.New(), start: time.Now().Add(startDelay),
		arrivalsDone: ring.NewReply[struct{}]()}
	arriving := workload.Generate(e)
	t.expectedSamples = countRequests(arriving)
	jobs := ring.New[caller.Job]("load_jobs", jobCapacity)
	resends := ring.New[caller.Job]("load_resends", resendCapacity)
	client := newClient(e.MaxInFlight)
	t.root = supervisor.New(supervisor.Spec{Name: "load", Children: []supervisor.Child{
		{Name: "collector", Duty: t.collector},
		{Name: "callers", Duty: t.newCallers(jobs, resends, client, log)},
		{Name: "faults", Duty: faults.New(e, t.start, client, log)},
		{Name: "arrivals", Duty: &dispatcher{start: t.start, pending: arriving, jobs: jobs,
			resends: resends, done: t.arrivalsDone}},
	}}, log)
	return t
}

func (t *Runner) newCallers(jobs, resends *ring.Ring[caller.Job], client *http.Client, log *zap.Logger) *supervisor.Supervisor {
	spec := supervisor.Spec{Name: "callers"}
	for i := range t.experiment.MaxInFlight {
		spec.Children = append(spec.Children, supervisor.Child{Name: fmt.Sprintf("caller-%d", i),
			Duty: caller.New(jobs, resends, t.collector, client, t.experiment)})
	}
	return supervisor.New(spec, log)
}

// newClient returns a client that never sends a request again by itself and
// keeps a connection for each caller.
func newClient(callers int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        callers,
		MaxIdleConnsPerHost: callers,
	}}
}

// Run runs the experiment to its end and returns the samples. It returns the
// context's error if the context ends first.
func (t *Runner) Run(ctx context.Context) ([]collector.Sample, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := supervisor.Start(ctx, t.root)
	if _, err := t.arrivalsDone.Wait(ctx); err != nil {
		return nil, err
	}
	samples, err := t.waitForResponses(ctx)
	if err != nil {
		return nil, err
	}
	stop()
	_, _ = ended.Wait(context.Background())
	return samples, nil
}

// waitForResponses waits until every arrival has a sample, but no longer than
// the longest deadline and the drain grace.
func (t *Runner) waitForResponses(ctx context.Context) ([]collector.Sample, error) {
	limited, cancel := context.WithTimeout(ctx, t.longestDeadline()+drainGrace)
	defer cancel()
	samples, err := t.collector.Samples(limited, t.expectedSamples)
	if err != nil && ctx.Err() == nil {
		return t.collector.Samples(ctx, 0)
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

func (t *Runner) longestDeadline() time.Duration {
	longest := int64(0)
	for _, c := range t.experiment.Classes {
		longest = max(longest, c.DeadlineMS)
	}
	return time.Duration(longest) * time.Millisecond
}
