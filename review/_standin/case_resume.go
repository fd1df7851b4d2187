package main

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// The case of streams whose answer is lost while their worker goes on with them.
const (
	digestsPerSecond = 24
	// losingWorkers is the half of the workers that lose answers, losingRate and losingFor
	// are x and for_s of answer_lost.
	losingWorkers = 2
	losingRate    = 0.05
	losingFor     = 4000 * time.Millisecond
	losingTimes   = 5
	losingPause   = 5 * time.Second
	// mayOverlap is how long the worker before may still work after the request has gone on.
	mayOverlap = 400 * time.Millisecond
)

func playResume(w *world) (int, error) {
	var losing atomic.Bool
	var workers []*worker
	for i := range 2 * losingWorkers {
		k := &worker{id: fmt.Sprint("i-", i+1), service: modelService, slots: 11, prefill: 40 * time.Millisecond,
			gap: 40 * time.Millisecond, events: 49}
		if i < losingWorkers {
			k.losing = func() bool { return losing.Load() && rand.Float64() < losingRate }
		}
		workers = append(workers, k)
	}
	if err := w.start(configuration(3, 0), workers, 3); err != nil {
		return exitNotRun, err
	}
	stop := make(chan struct{})
	digest := &class{name: "digest", method: "POST", path: "/digest/a", body: 830, deadline: 12 * time.Second, prompt: 688, output: 294}
	w.clients.loadAt(digest, digestsPerSecond, stop)
	time.Sleep(4 * time.Second)
	for range losingTimes {
		losing.Store(w.trouble)
		w.record.line("workers lose answers: %v", w.trouble)
		time.Sleep(losingFor)
		losing.Store(false)
		w.record.line("workers lose no answers")
		time.Sleep(losingPause)
	}
	close(stop)
	w.clients.sending.Wait()
	time.Sleep(3 * time.Second)
	return w.judgeGoneOn(), nil
}

// judgeGoneOn looks for requests that went on at another worker while the worker before still
// worked on them.
func (w *world) judgeGoneOn() int {
	twice, lost := 0, 0
	runs := runsByAttempt(w.workers)
	for _, a := range w.clients.seen() {
		w.record.line("attempt %s at %s: sent %.3f ended %.3f status %d whole %v runs %d %s", a.ID, a.Host, a.Sent.Sub(w.began).Seconds(),
			a.Ended.Sub(w.began).Seconds(), a.Status, a.Whole, len(runs[a.ID]), a.Err)
		for _, before := range runs[a.ID] {
			if before.Lost {
				lost++
			}
			for _, after := range runs[a.ID] {
				if overlap := before.Ended.Sub(after.Began); after.Began.After(before.Began) && after.Worker != before.Worker && overlap > mayOverlap {
					twice++
					w.record.line("  TWICE: began at %s at %.3f, answer lost at %.3f; went on at %s at %.3f; the first worked until %.3f, %v longer",
						before.Worker, before.Began.Sub(w.began).Seconds(), before.LostAt.Sub(w.began).Seconds(), after.Worker,
						after.Began.Sub(w.began).Seconds(), before.Ended.Sub(w.began).Seconds(), overlap.Round(time.Millisecond))
				}
			}
		}
	}
	w.record.line("lost answers: %d; requests that went on while the worker before worked over %v longer: %d", lost, mayOverlap, twice)
	if twice > 0 {
		return exitBroken
	}
	return exitHeld
}
