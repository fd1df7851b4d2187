// Package engine forecasts the queueing delay of a new request on an inference
// engine with continuous batching. The model is an engine that prefills the
// prompts of admitted requests sequentially, decodes for all of them in one
// batch, and admits waiting requests in arrival order as slots become free.
package engine

import "time"

const (
	// reportDelay is the longest expected delay until a first token is
	// reported: two reporting periods of the hosts.
	reportDelay = 80 * time.Millisecond
	// overdueRemainingFactor times the elapsed decode time is the expected
	// remaining time of a response that exceeds its estimate. Output lengths
	// vary widely, so an overdue response is likely to run much longer.
	overdueRemainingFactor = 0.3
	// slotWaitFactor scales the slot wait, because completion times are far
	// less predictable than prefill times, and a wait for a slot also delays
	// all later arrivals.
	slotWaitFactor = 2
)

// Job is a request assigned to the engine.
type Job struct {
	// Prefill and Decode are the expected durations of the two phases.
	Prefill, Decode time.Duration
	// ExpectedFirstToken is the estimated time of the first token.
	// FirstTokenAt is the actual time, zero if there is none yet.
	ExpectedFirstToken, FirstTokenAt time.Time
}

// Forecast is the expected queueing delay of a new request.
type Forecast struct {
	// PrefillWait is the time until all earlier prompts have been prefilled,
	// SlotWait the time until a slot is free for the request.
	PrefillWait, SlotWait time.Duration
}

// Wait returns the time until the prefill of the request starts. Earlier
// prompts are prefilled while the request waits for its slot, so the two
// waits overlap.
func (f Forecast) Wait() time.Duration { return max(f.PrefillWait, slotWaitFactor*f.SlotWait) }

// Predict forecasts the delay of a new request behind the jobs on an engine
// with the given number of slots.
func Predict(jobs []Job, slots int, now time.Time) Forecast {
	return Forecast{PrefillWait: prefillWait(jobs, now), SlotWait: slotWait(jobs, slots, now)}
}

// prefillWait returns the time until all prompts have been prefilled. First
// tokens are reported with a delay, so a job whose first token was expected at
// most reportDelay ago counts as prefilled. A job that is overdue by more
// counts with its whole prefill.
func prefillWait(jobs []Job, now time.Time) time.Duration {
	unfinished, overdue, due := time.Duration(0), time.Duration(0), time.Duration(0)
	for i := range jobs {
		job := &jobs[i]
		if !job.FirstTokenAt.IsZero() {
			continue
		}
		unfinished += job.Prefill
		due = max(due, job.ExpectedFirstToken.Sub(now))
		if now.Sub(job.ExpectedFirstToken) > reportDelay {
			overdue += job.Prefill
		}
	}
	return min(unfinished, max(due, overdue))
}

// slotWait returns the time until enough jobs have completed that one slot is
// free. Each job in a slot is assumed to complete at a constant rate of one
// per expected remaining time.
func slotWait(jobs []Job, slots int, now time.Time) time.Duration {
	needed := len(jobs) + 1 - slots
	if needed <= 0 {
		return 0
	}
	rate := 0.0 // completions per second
	for i := range jobs {
		rate += 1 / jobs[i].expectedRemaining(now).Seconds()
	}
	rate *= min(1, float64(slots)/float64(len(jobs))) // jobs beyond the slots are not running
	return time.Duration(float64(needed) / rate * float64(time.Second))
}

// expectedRemaining returns the expected time until the job completes.
func (j *Job) expectedRemaining(now time.Time) time.Duration {
	if j.FirstTokenAt.IsZero() {
		return j.Prefill + j.Decode + time.Millisecond
	}
	elapsed := now.Sub(j.FirstTokenAt)
	overdue := time.Duration(overdueRemainingFactor * float64(max(elapsed, j.Decode)))
	return max(j.Decode-elapsed, overdue) + time.Millisecond
}
