package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The bounds of the case, from the sheet of the smaller deployments.
const (
	stableTime = 3 * time.Second         // StableMs
	drainTime  = 2 * time.Second         // DrainMs
	cutTime    = 5500 * time.Millisecond // the longest core_cut of the site file
	staleStep  = 11 * time.Second
	staleSteps = 4
	// staleLinger is how long a worker still serves after its entry has been removed.
	staleLinger = 6 * time.Second
	// releaseGap is the pause between two workers that are replaced.
	releaseGap = time.Second
	// released is how many of the nine workers are replaced in a step.
	released = 4
)

// staleCase is the state of the case.
type staleCase struct {
	*world
	record *record
	first  *host // the host whose link is cut, which places the requests to the service

	mu sync.Mutex
	// gone holds when the entry of a worker was removed, by the worker's id.
	gone map[string]time.Time
	// sentAt holds when a request was sent to the first host that was then in touch.
	sentAt map[string]time.Time
	late   int
	next   int // number of the next worker
}

// stale cuts one host from the store while workers are replaced that do not report that
// they drain, and judges the rule on requests to workers that are gone from the store.
func stale(r *record, trouble bool) int {
	w, err := newWorld(3, 284)
	if err != nil {
		r.printf("cannot run: %v", err)
		return failedToRun
	}
	defer w.close()
	storeLink, err := newLink(w.address)
	if err != nil {
		r.printf("cannot run: %v", err)
		return failedToRun
	}
	defer storeLink.close()
	c := &staleCase{world: w, record: r, first: w.hosts[2], gone: map[string]time.Time{}, sentAt: map[string]time.Time{}}
	c.first.setStore(storeLink.address())
	w.configure(map[string]any{"Name": "lookup", "Host": routeHost, "PathPrefix": "/lookup/", "Kind": "idempotent", "TimeoutMs": 1000,
		"TargetLatencyMs": 100, "Priority": 2, "Service": service, "MaxAttempts": 2, "Public": true})
	for range 9 {
		if err := c.addNext(); err != nil {
			r.printf("cannot run: %v", err)
			return failedToRun
		}
	}
	w.startHosts()
	if !w.awaitReady(10 * time.Second) {
		r.printf("cannot run: the hosts are not ready")
		return failedToRun
	}
	time.Sleep(stableTime)
	answered := 0
	for step := range staleSteps {
		start := time.Now()
		if trouble {
			storeLink.setCut(true)
			r.printf("step %d: %s is cut from the store", step, c.first.name)
		}
		heal := start.Add(cutTime)
		var release sync.WaitGroup
		release.Go(func() { c.release(heal.Add(-1800 * time.Millisecond)) })
		time.Sleep(time.Until(heal))
		if trouble {
			storeLink.setCut(false)
			r.printf("step %d: the cut has healed", step)
		}
		answered += c.ask(step, heal.Add(stableTime+20*time.Millisecond))
		release.Wait()
		time.Sleep(time.Until(start.Add(staleStep)))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.printf("%d requests answered, %d reached a worker too late", answered, c.late)
	switch {
	case c.late > 0:
		return broken
	case answered == 0:
		r.printf("cannot run: no request was answered")
		return failedToRun
	}
	return held
}

// addNext starts one more worker.
func (c *staleCase) addNext() error {
	c.next++
	return c.addWorker(fmt.Sprint("i-", c.next), &worker{work: 40 * time.Millisecond, ran: c.ran})
}

// release replaces workers one after the other: a new one starts first, then an old one
// leaves, which goes on serving for some time. Every second one reports that it drains, the
// entry of the others is removed.
func (c *staleCase) release(at time.Time) {
	time.Sleep(time.Until(at))
	for n := range released {
		if err := c.addNext(); err != nil {
			c.record.printf("no new worker: %v", err)
			return
		}
		c.world.mu.Lock()
		old := c.workers[0]
		c.workers = c.workers[1:]
		c.world.mu.Unlock()
		old.leaving.Store(true)
		c.mu.Lock()
		how := "its entry is removed"
		if n%2 == 1 {
			how = "it reports draining"
			c.store.set("servers", old.id, old.entry("draining", 2), nil)
		} else {
			c.store.remove("servers", old.id)
		}
		c.gone[old.id] = time.Now()
		c.mu.Unlock()
		c.record.printf("worker %s leaves: %s, the store has acknowledged", old.id, how)
		time.AfterFunc(staleLinger, func() {
			c.store.remove("servers", old.id)
			_ = old.server.Close()
		})
		time.Sleep(releaseGap)
	}
}

// ask sends requests to the first host for half a second.
func (c *staleCase) ask(step int, at time.Time) (answered int) {
	time.Sleep(time.Until(at))
	var mu sync.Mutex
	var requests sync.WaitGroup
	for n := range 50 {
		requests.Go(func() {
			id := fmt.Sprintf("step%d-%d", step, n)
			c.mu.Lock()
			c.sentAt[id] = time.Now()
			c.mu.Unlock()
			status, body := newClient().get(context.Background(), c.first, "/lookup/x", id, time.Second)
			c.record.printf("request %s, sent to %s: answered %d %q", id, c.first.name, status, body)
			if status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				answered++
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	requests.Wait()
	return answered
}

// ran judges a request that a worker begins to run.
func (c *staleCase) ran(w *worker, attempt string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	gone, isGone := c.gone[w.id]
	sent, known := c.sentAt[attempt]
	c.record.printf("request %s runs at worker %s", attempt, w.id)
	if !isGone || !known || now.Sub(gone) <= drainTime {
		return
	}
	c.late++
	c.record.printf("request %s, sent %d ms ago to %s in touch, reaches worker %s %d ms after the store had acknowledged that it leaves (DrainMs %d)",
		attempt, now.Sub(sent).Milliseconds(), c.first.name, w.id, now.Sub(gone).Milliseconds(), drainTime.Milliseconds())
}
