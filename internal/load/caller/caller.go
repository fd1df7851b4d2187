// Package caller holds the duties that play the callers: each takes one
// arrival at a time, sends it, reads the whole answer and reports a sample.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"kingcupcourse/internal/load/collector"
	"kingcupcourse/internal/load/experiment"
	"kingcupcourse/internal/load/workload"
	"kingcupcourse/internal/ring"
)

// Job is an arrival that is due.
type Job struct {
	Arrival workload.Arrival
	// Start is when the run began.
	Start time.Time
	// Key is the idempotency key, empty for the first sending of a request.
	Key string
	// Resend tells that this is the second sending.
	Resend bool
}

// Caller is one caller's duty.
type Caller struct {
	jobs       *ring.Ring[Job]
	resends    *ring.Ring[Job]
	collector  *collector.Collector
	client     *http.Client
	experiment *experiment.Experiment
}

// answerGrace is how much longer than the deadline a caller waits for an
// answer before it gives up.
const answerGrace = 5 * time.Second

// New returns a caller that takes jobs from a ring shared by all callers,
// and hands requests that are to be sent twice to the ring of resends.
func New(jobs, resends *ring.Ring[Job], c *collector.Collector, client *http.Client, e *experiment.Experiment) *Caller {
	return &Caller{jobs: jobs, resends: resends, collector: c, client: client, experiment: e}
}

// Serve implements supervisor.Duty.
func (c *Caller) Serve(ctx context.Context) error {
	return ring.Loop(ctx, c.jobs, func(job Job) error {
		return c.call(ctx, job)
	})
}

func (c *Caller) call(ctx context.Context, job Job) error {
	class := job.Arrival.Class
	if class.RunOnce && job.Key == "" {
		job.Key = newKey(job)
	}
	if job.Arrival.Resend && !job.Resend {
		again := job
		again.Resend = true
		if err := c.resends.Put(ctx, again); err != nil {
			return err
		}
	}
	sample := c.exchange(ctx, job)
	return c.collector.Add(ctx, sample)
}

// newKey returns a UUIDv7, whose time is now.
func newKey(Job) string { return uuid.Must(uuid.NewV7()).String() }

func (c *Caller) exchange(ctx context.Context, job Job) collector.Sample {
	class := job.Arrival.Class
	due := job.Start.Add(job.Arrival.At)
	entry := job.Arrival.Entry
	if job.Resend {
		due = due.Add(job.Arrival.ResendAfter)
		entry = job.Arrival.ResendEntry
	}
	sample := collector.Sample{Class: class.Name, Pool: class.Pool, Tier: class.Tier, Key: job.Key,
		Resend: job.Resend, Due: due.Sub(job.Start), Late: max(0, time.Since(due))}
	deadline := due.Add(time.Duration(class.DeadlineMS) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerGrace))
	defer cancel()
	request, err := buildRequest(ctx, c.experiment.Entries[entry], job, deadline)
	if err != nil {
		sample.Failure = err.Error()
		return sample
	}
	response, err := c.client.Do(request)
	if err != nil {
		sample.Failure = err.Error()
		return sample
	}
	defer func() { _ = response.Body.Close() }()
	readAnswer(&sample, response, job.Arrival, due)
	sample.Total = time.Since(due)
	sample.InTime = sample.Whole && !time.Now().After(deadline)
	return sample
}
