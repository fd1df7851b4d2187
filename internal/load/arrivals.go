package load

import (
	"container/heap"
	"context"
	"time"

	"kingcupcourse/internal/load/caller"
	"kingcupcourse/internal/load/workload"
	"kingcupcourse/internal/ring"
)

// arrivals is the duty that hands each job to the callers when it is due,
// and each resend after its delay. It never waits for an answer, so that
// arrivals stay an open loop.
type arrivals struct {
	start   time.Time
	planned []workload.Arrival
	jobs    *ring.Ring[caller.Job]
	resends *ring.Ring[caller.Job]
	due     resendQueue
	// ended is answered once, when the last planned arrival was handed out.
	ended ring.Reply[struct{}]
}

// Serve implements supervisor.Duty.
func (a *arrivals) Serve(ctx context.Context) error {
	return ring.LoopUntil(ctx, a.resends, func(job caller.Job) error {
		heap.Push(&a.due, job)
		return nil
	}, a.next, func() error { return a.handOut(ctx) })
}

// next returns when the next arrival or resend is due.
func (a *arrivals) next() time.Time {
	var next time.Time
	if len(a.planned) > 0 {
		next = a.start.Add(a.planned[0].At)
	}
	if len(a.due) > 0 {
		if at := resendAt(a.due[0]); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (a *arrivals) handOut(ctx context.Context) error {
	now := time.Now()
	for len(a.due) > 0 && !resendAt(a.due[0]).After(now) {
		if err := a.jobs.Put(ctx, heap.Pop(&a.due).(caller.Job)); err != nil {
			return err
		}
	}
	for len(a.planned) > 0 && !a.start.Add(a.planned[0].At).After(now) {
		job := caller.Job{Arrival: a.planned[0], Start: a.start}
		a.planned = a.planned[1:]
		if err := a.jobs.Put(ctx, job); err != nil {
			return err
		}
	}
	if len(a.planned) == 0 {
		a.ended.Send(struct{}{})
	}
	return nil
}

func resendAt(job caller.Job) time.Time {
	return job.Start.Add(job.Arrival.At + job.Arrival.ResendAfter)
}

// resendQueue is a heap of resends by the time they are due.
type resendQueue []caller.Job

func (q resendQueue) Len() int           { return len(q) }
func (q resendQueue) Less(i, j int) bool { return resendAt(q[i]).Before(resendAt(q[j])) }
func (q resendQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *resendQueue) Push(job any) { *q = append(*q, job.(caller.Job)) }

// Pop implements heap.Interface.
func (q *resendQueue) Pop() any {
	last := len(*q) - 1
	job := (*q)[last]
	*q = (*q)[:last]
	return job
}
