// Package caller simulates callers. Each caller is a duty that sends one
// request at a time, reads the complete response and reports a sample.
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

// Job is a request that is due to be sent.
type Job struct {
	Arrival workload.Arrival
	// Start is the start time of the run.
	Start time.Time
	// IdempotencyKey is empty until the request is sent for the first time.
	IdempotencyKey string
	// Resend is set when the request is sent for the second time.
	Resend bool
}

// Caller is the duty of one simulated caller.
type Caller struct {
	jobs       *ring.Ring[Job]
	resends    *ring.Ring[Job]
	collector  *collector.Collector
	client     *http.Client
	experiment *experiment.Experiment
}

// responseGrace is how long a caller waits for a response beyond the
// request's deadline.
const responseGrace = 5 * time.Second

// New returns a caller that takes jobs from a ring shared by all callers. It
// puts requests that are to be sent a second time into the ring of resends.
func New(jobs, resends *ring.Ring[Job], c *collector.Collector, client *http.Client, e *experiment.Experiment) *Caller {
	return &Caller{jobs: jobs, resends: resends, collector: c, client: client, experiment: e}
}

// Serve implements supervisor.Duty.
func (c *Caller) Serve(ctx context.Context) error {
	return ring.Loop(ctx, c.jobs, func(job Job) error {
		return c.handle(ctx, job)
	})
}

func (c *Caller) handle(ctx context.Context, job Job) error {
	class := job.Arrival.Class
	if class.RunOnce && job.IdempotencyKey == "" {
		job.IdempotencyKey = newIdempotencyKey(job)
	}
	if job.Arrival.Resend && !job.Resend {
		resend := job
		resend.Resend = true
		if err := c.resends.Put(ctx, resend); err != nil {
			return err
		}
	}
	sample := c.send(ctx, job)
	return c.collector.Add(ctx, sample)
}

// newIdempotencyKey returns a UUIDv7 with the current time.
func newIdempotencyKey(Job) string { return uuid.Must(uuid.NewV7()).String() }

func (c *Caller) send(ctx context.Context, job Job) collector.Sample {
	class := job.Arrival.Class
	due := job.Start.Add(job.Arrival.At)
	entry := job.Arrival.EntryIndex
	if job.Resend {
		due = due.Add(job.Arrival.ResendAfter)
		entry = job.Arrival.ResendEntryIndex
	}
	sample := collector.Sample{Class: class.Name, Pool: class.Pool, Tier: class.Tier, IdempotencyKey: job.IdempotencyKey,
		Resend: job.Resend, Due: due.Sub(job.Start), SendDelay: max(0, time.Since(due))}
	deadline := due.Add(time.Duration(class.DeadlineMS) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGrace))
	defer cancel()
	request, err := newRequest(ctx, c.experiment.EntryURLs[entry], job, deadline)
	if err != nil {
		sample.Error = err.Error()
		return sample
	}
	response, err := c.client.Do(request)
	if err != nil {
		sample.Error = err.Error()
		return sample
	}
	defer func() { _ = response.Body.Close() }()
	readResponse(&sample, response, job.Arrival, due)
	sample.Total = time.Since(due)
	sample.DeadlineMet = sample.Complete && !time.Now().After(deadline)
	return sample
}
