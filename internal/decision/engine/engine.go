// Package engine models a model engine that batches continuously: it reads the
// prompts of the requests that it has admitted one after another, generates
// for all of them together, and admits the next in arrival order when a slot
// is free. It forecasts how long a further request would wait.
package engine

import "time"

const (
	// reportDelay is by how much the news that a prompt has been read may come
	// later than the fact: two periods of the hosts' reports.
	reportDelay = 80 * time.Millisecond
	// overdueRemainingFactor is the expected rest of an answer that is longer than
	// expected, as a share of the time that it has taken: lengths spread
	// widely, so one that is overdue goes on for long.
	overdueRemainingFactor = 0.3
	// slotWaitFactor multiplies the wait for a slot: when answers end is known
	// far less well than when prompts have been read, and all that arrive
	// later wait as well.
	slotWaitFactor = 2
)

// Job is a request on the engine.
type Job struct {
	// Prefill is how long its prompt takes to read, Decode its answer.
	Prefill, Decode time.Duration
	// ExpectedFirstToken is when the first token was expected; FirstTokenAt is when it came,
	// zero if it has not.
	ExpectedFirstToken, FirstTokenAt time.Time
}

// Forecast is how long a further request would wait.
type Forecast struct {
	// PrefillWait is the time until the prompts before it have been read, SlotWait
	// the time until a slot is free for it.
	PrefillWait, SlotWait time.Duration
}

// Wait is the time until the request's prompt begins to be read. The engine
// reads the prompts before it while it waits for its slot.
func (f Forecast) Wait() time.Duration { return max(f.PrefillWait, slotWaitFactor*f.SlotWait) }

// Predict forecasts the wait behind the jobs on an engine with so many slots.
func Predict(jobs []Job, slots int, now time.Time) Forecast {
	return Forecast{PrefillWait: prefillWait(jobs, now), SlotWait: slotWait(jobs, slots, now)}
}

// prefillWait is the time until all prompts have been read. Jobs tell late that
// they have begun, so the clock counts as well as what they tell: a job whose
// first token was due a moment ago is taken as read.
func prefillWait(jobs []Job, now time.Time) time.Duration {
	unread, overdue, due := time.Duration(0), time.Duration(0), time.Duration(0)
	for i := range jobs {
		job := &jobs[i]
		if !job.FirstTokenAt.IsZero() {
			continue
		}
		unread += job.Prefill
		due = max(due, job.ExpectedFirstToken.Sub(now))
		if now.Sub(job.ExpectedFirstToken) > reportDelay {
			overdue += job.Prefill
		}
	}
	return min(unread, max(due, overdue))
}

// slotWait is the time until so many jobs have ended that one slot is free, if
// each job in a slot ends at a constant rate, once in its expected rest.
func slotWait(jobs []Job, slots int, now time.Time) time.Duration {
	over := len(jobs) + 1 - slots
	if over <= 0 {
		return 0
	}
	rate := 0.0 // ends a second
	for i := range jobs {
		rate += 1 / jobs[i].expectedRemaining(now).Seconds()
	}
	rate *= min(1, float64(slots)/float64(len(jobs))) // the others wait for a slot themselves
	return time.Duration(float64(over) / rate * float64(time.Second))
}

// expectedRemaining is how long the job is expected to go on.
func (j *Job) expectedRemaining(now time.Time) time.Duration {
	if j.FirstTokenAt.IsZero() {
		return j.Prefill + j.Decode + time.Millisecond
	}
	spent := now.Sub(j.FirstTokenAt)
	longer := time.Duration(overdueRemainingFactor * float64(max(spent, j.Decode)))
	return max(j.Decode-spent, longer) + time.Millisecond
}
