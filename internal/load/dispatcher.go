package load

import (
	"container/heap"
	"context"
	"time"

	"kingcupcourse/internal/load/caller"
	"kingcupcourse/internal/load/workload"
	"kingcupcourse/internal/ring"
)

// dispatcher is the duty that hands each job to the callers when it is due,
// and each resend after its delay. It never waits for a response, so that the
// load is an open loop.
type dispatcher struct {
	start       time.Time
	pending     []workload.Arrival
	jobs        *ring.Ring[caller.Job]
	resends     *ring.Ring[caller.Job]
	resendQueue resendHeap
	// done gets its reply when the last arrival has been dispatched.
	done ring.Reply[struct{}]
}

// Serve implements supervisor.Duty.
func (d *dispatcher) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, d.resends, func(job caller.Job) error {
		heap.Push(&d.resendQueue, job)
		return nil
	}, d.nextDue, func() error { return d.dispatchDue(ctx) })
}

// nextDue returns when the next arrival or resend is due, zero if none is
// pending.
func (d *dispatcher) nextDue() time.Time {
	var next time.Time
	if len(d.pending) > 0 {
		next = d.start.Add(d.pending[0].At)
	}
	if len(d.resendQueue) > 0 {
		if at := resendTime(d.resendQueue[0]); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (d *dispatcher) dispatchDue(ctx context.Context) error {
	now := time.Now()
	for len(d.resendQueue) > 0 && !resendTime(d.resendQueue[0]).After(now) {
		if err := d.jobs.Put(ctx, heap.Pop(&d.resendQueue).(caller.Job)); err != nil {
			return err
		}
	}
	for len(d.pending) > 0 && !d.start.Add(d.pending[0].At).After(now) {
		job := caller.Job{Arrival: d.pending[0], Start: d.start}
		d.pending = d.pending[1:]
		if err := d.jobs.Put(ctx, job); err != nil {
			return err
		}
	}
	if len(d.pending) == 0 {
		d.done.Send(struct{}{})
	}
	return nil
}

func resendTime(job caller.Job) time.Time {
	return job.Start.Add(job.Arrival.At + job.Arrival.ResendAfter)
}

// resendHeap is a min-heap of resends, ordered by due time.
type resendHeap []caller.Job

func (q resendHeap) Len() int           { return len(q) }
func (q resendHeap) Less(i, j int) bool { return resendTime(q[i]).Before(resendTime(q[j])) }
func (q resendHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *resendHeap) Push(job any) { *q = append(*q, job.(caller.Job)) }

// Pop implements heap.Interface.
func (q *resendHeap) Pop() any {
	last := len(*q) - 1
	job := (*q)[last]
	*q = (*q)[:last]
	return job
}
