// Package engine models a model engine that batches continuously: it reads the
// prompts of the requests that it has admitted one after another, generates
// for all of them together, and admits the next in arrival order when a slot
// is free. It forecasts how long a further request would wait.
package engine

import "time"

const (
	// reportLag is by how much the news that a prompt has been read may come
	// later than the fact: two periods of the hosts' reports.
	reportLag = 80 * time.Millisecond
	// overdueShare is the expected rest of an answer that is longer than
	// expected, as a share of the time that it has taken: lengths spread
	// widely, so one that is overdue goes on for long.
	overdueShare = 0.3
	// slotCaution multiplies the wait for a slot: when answers end is known
	// far less well than when prompts have been read, and all that arrive
	// later wait as well.
	slotCaution = 2
)

// Job is a request on the engine.
type Job struct {
	// Read is how long its prompt takes to read, Generate its answer.
	Read, Generate time.Duration
	// FirstToken is when the first token was expected; Begun is when it came,
	// zero if it has not.
	FirstToken, Begun time.Time
}

// Forecast is how long a further request would wait.
type Forecast struct {
	// Backlog is the time until the prompts before it have been read, Slot
	// the time until a slot is free for it.
	Backlog, Slot time.Duration
}

// Wait is the time until the request's prompt begins to be read. The engine
// reads the prompts before it while it waits for its slot.
func (f Forecast) Wait() time.Duration { return max(f.Backlog, slotCaution*f.Slot) }

// Predict forecasts the wait behind the jobs on an engine with so many slots.
func Predict(jobs []Job, slots int, now time.Time) Forecast {
	return Forecast{Backlog: backlog(jobs, now), Slot: slotWait(jobs, slots, now)}
}

// backlog is the time until all prompts have been read. Jobs tell late that
// they have begun, so the clock counts as well as what they tell: a job whose
// first token was due a moment ago is taken as read.
func backlog(jobs []Job, now time.Time) time.Duration {
	unread, overdue, due := time.Duration(0), time.Duration(0), time.Duration(0)
	for i := range jobs {
		job := &jobs[i]
		if !job.Begun.IsZero() {
			continue
		}
		unread += job.Read
		due = max(due, job.FirstToken.Sub(now))
		if now.Sub(job.FirstToken) > reportLag {
			overdue += job.Read
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
		rate += 1 / jobs[i].rest(now).Seconds()
	}
	rate *= min(1, float64(slots)/float64(len(jobs))) // the others wait for a slot themselves
	return time.Duration(float64(over) / rate * float64(time.Second))
}

// rest is how long the job is expected to go on.
func (j *Job) rest(now time.Time) time.Duration {
	if j.Begun.IsZero() {
		return j.Read + j.Generate + time.Millisecond
	}
	spent := now.Sub(j.Begun)
	longer := time.Duration(overdueShare * float64(max(spent, j.Generate)))
	return max(j.Generate-spent, longer) + time.Millisecond
}
