package main

import (
	"syscall"
	"time"
)

// The case of many configurations on a machine whose memory the platform limits.
const (
	// memoryLimit is MemoryMb of the smallest machines of the deployment.
	memoryLimit = 184 << 20
	// addedRoutes is the count of big_config, stormTime and stormGap are for_s and gap_s of
	// config_storm.
	addedRoutes = 1400
	stormTime   = 2 * time.Second
	stormGap    = 80 * time.Millisecond
	stormPause  = 2 * time.Second
	memoryPlay  = 95 * time.Second
)

func playMemory(w *world) (int, error) {
	var workers []*worker
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		workers = append(workers, &worker{id: id, service: modelService, slots: 11, prefill: 80 * time.Millisecond,
			gap: 40 * time.Millisecond, events: 40})
	}
	for _, id := range []string{"i-4", "i-5"} {
		workers = append(workers, &worker{id: id, service: plainService, slots: 6, work: 15 * time.Millisecond})
	}
	if err := w.start(configuration(3, 0), workers, 3); err != nil {
		return exitNotRun, err
	}
	stop := make(chan struct{})
	draft := &class{name: "draft", method: "POST", path: "/draft/a", body: 12000, deadline: 15 * time.Second, prompt: 6670, output: 240}
	file := &class{name: "file", method: "POST", path: "/file/a", body: 600, deadline: time.Second}
	look := &class{name: "look", method: "GET", path: "/look/a", deadline: time.Second}
	w.clients.load(draft, 15, 500*time.Millisecond, stop)
	w.clients.load(file, 6, 200*time.Millisecond, stop)
	w.clients.load(look, 6, 200*time.Millisecond, stop)

	time.Sleep(10 * time.Second)
	changesFrom := time.Now()
	ended := make(chan struct{})
	go w.limitMemory(ended)
	if w.trouble {
		w.changeOften(memoryPlay - time.Since(w.began))
	} else {
		time.Sleep(memoryPlay - time.Since(w.began))
	}
	close(stop)
	w.clients.sending.Wait()
	close(ended)
	return w.judgeLost(changesFrom), nil
}

// changeOften lets the configuration grow, and then changes it in storms.
func (w *world) changeOften(play time.Duration) {
	until, version := time.Now().Add(play), 7
	w.store.operatorPut("config", "main", configuration(version, addedRoutes))
	w.record.line("configuration %d acknowledged, %d routes more", version, addedRoutes)
	for time.Now().Before(until) {
		storm := time.Now().Add(stormTime)
		for time.Now().Before(storm) && time.Now().Before(until) {
			time.Sleep(stormGap)
			version += 2
			changed := configuration(version, addedRoutes)
			changed["Routes"].([]any)[3].(map[string]any)["TimeoutMs"] = 1000 + version%5
			w.store.operatorPut("config", "main", changed)
			w.record.line("configuration %d acknowledged", version)
		}
		time.Sleep(stormPause)
	}
}

// limitMemory kills a process that exceeds the memory of its machine, as the platform does.
func (w *world) limitMemory(ended chan struct{}) {
	for tick := 0; ; tick++ {
		select {
		case <-ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, h := range w.hosts {
			used := memory(h.pid())
			if tick%50 == 0 {
				w.record.line("%s uses %d MB", h.name, used>>20)
			}
			if used > memoryLimit {
				w.record.line("%s uses %d MB, over its limit: killed", h.name, used>>20)
				h.signal(syscall.SIGKILL)
			}
		}
	}
}

// judgeLost counts the requests that a host had passed on to a worker, and whose connection
// ended without a whole answer although the worker had not broken off.
func (w *world) judgeLost(from time.Time) int {
	runs := runsByAttempt(w.workers)
	lost, before, whole := 0, 0, 0
	for _, a := range w.clients.seen() {
		w.record.line("attempt %s %s at %s: sent %.3f ended %.3f kept %v status %d whole %v runs %d %s", a.ID, a.Class, a.Host,
			a.Sent.Sub(w.began).Seconds(), a.Ended.Sub(w.began).Seconds(), a.Kept, a.Status, a.Whole, len(runs[a.ID]), a.Err)
		switch {
		case a.Whole:
			whole++
		case a.Err == "" || len(runs[a.ID]) == 0 || a.Ended.Sub(a.Sent) > time.Duration(0.7*float64(deadlineOf(a.Class))):
		case a.Sent.Before(from):
			before++
		default:
			lost++
		}
	}
	w.record.line("whole answers %d; passed on and ended without a whole answer: %d before the changes, %d after", whole, before, lost)
	if lost > 0 {
		return exitBroken
	}
	return exitHeld
}

func deadlineOf(class string) time.Duration {
	if class == "draft" {
		return 15 * time.Second
	}
	return time.Second
}
