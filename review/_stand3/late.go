package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// The figures of the case. lateBad and badShare are those of the sites' own entries.
const (
	lateBad    = 3 * time.Second
	badShare   = 0.5
	orderTime  = 6 * time.Second
	exposeRate = 0.1
	exposeFree = 50
	rollbackMS = 5 * time.Second
)

// versioned answers as a worker of a version that fails a share of its requests from badFrom on.
func versioned(badFrom time.Duration) func(*worker, net.Conn, *http.Request, string) bool {
	started := time.Now()
	return func(w *worker, c net.Conn, r *http.Request, body string) bool {
		id := r.Header.Get("Attempt-Id")
		if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
			_, _ = io.WriteString(c, head(421, id, "Content-Length: 0")+"\r\n")
			return true
		}
		entry := &run{worker: w.id, version: w.version, at: time.Now(), path: r.RequestURI, method: r.Method, tenant: r.Header.Get("Tenant"), body: body}
		entry.bad = badFrom > 0 && time.Since(started) >= badFrom && rand.Float64() < badShare
		w.log.add(id, entry)
		time.Sleep(time.Duration(float64(w.work) * (0.5 + rand.Float64())))
		entry.ended = time.Now()
		status, text := 200, bodyFor(id, sizeFor(id))
		if entry.bad {
			status, text = 500, "oops"
		}
		_, err := io.WriteString(c, head(status, id, "Response-Seal: "+seal(id), fmt.Sprintf("Content-Length: %d", len(text)))+"\r\n"+text)
		return err == nil
	}
}

// late orders a move to a version that turns bad some seconds after its start, and checks EXPOSURE.
func late(trouble bool, out io.Writer) bool {
	s := newStore()
	address := s.listen()
	s.put("config", "main", config(1, nil))
	log := &runsLog{by: map[string][]*run{}}
	add := func(name, zone, version string, handle func(*worker, net.Conn, *http.Request, string) bool) *worker {
		w := &worker{id: name, service: "ledger", zone: zone, version: version, slots: 6, store: s, log: log, work: 15 * time.Millisecond, handle: handle}
		w.start()
		return w
	}
	var before, after []*worker
	for i, zone := range []string{"za", "zb", "zc"} {
		before = append(before, add(fmt.Sprint("old-", i), zone, "v1", versioned(0)))
	}
	var hosts []*host
	for i, zone := range []string{"za", "zb", "zc"} {
		hosts = append(hosts, newHost(i, zone, address))
	}
	for _, h := range hosts {
		h.start()
	}
	if !awaitReady(hosts, 20*time.Second) {
		check(fmt.Errorf("the hosts are not ready"))
	}
	rec := &record{broken: map[string]int{}}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	const clients = 40
	for i := 0; i < clients; i++ {
		callers.Add(1)
		go func() {
			defer callers.Done()
			c := newClient("key1", rec)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(150+rand.Intn(100)) * time.Millisecond):
				}
				c.call(hosts[i%len(hosts)], kinds[n%2], time.Second)
			}
		}()
	}
	time.Sleep(6 * time.Second) // the machines are in touch
	ordered := time.Now()
	s.put("rollouts", "ledger", map[string]any{"Service": "ledger", "Target": "v2", "DurationS": orderTime.Seconds()})
	badFrom := time.Duration(0)
	if trouble {
		badFrom = lateBad
	}
	began := time.Now()
	for i, zone := range []string{"za", "zb", "zc"} {
		after = append(after, add(fmt.Sprint("new-", i), zone, "v2", versioned(badFrom)))
	}
	var states []string
	state, last := "", ordered.Add(20*time.Second)
	for time.Now().Before(last) {
		time.Sleep(5 * time.Millisecond)
		var status struct{ State, Target string }
		if o := s.get("rollouts", "ledger"); o == nil || json.Unmarshal(o.Status, &status) != nil || status.State == state {
			continue
		}
		state = status.State
		states = append(states, fmt.Sprintf("%.3f s after the order its state is %s", time.Since(ordered).Seconds(), state))
		switch state {
		case "succeeded": // the old workers stop at once
			for _, w := range before {
				w.crash(false)
				s.remove("servers", w.id)
			}
		case "rolled_back": // the new ones drain some seconds later
			go func() {
				time.Sleep(3 * time.Second)
				for _, w := range after {
					s.put("servers", w.id, w.spec("draining"))
				}
				time.Sleep(4 * time.Second)
				for _, w := range after {
					w.crash(false)
					s.remove("servers", w.id)
				}
			}()
		}
	}
	close(stop)
	callers.Wait()
	return judgeExposure(out, rec, log, ordered, began, states, state, trouble)
}

// judgeExposure checks both parts of EXPOSURE. All machines are in touch all the while.
func judgeExposure(out io.Writer, rec *record, log *runsLog, ordered, began time.Time, states []string, state string, trouble bool) bool {
	sent := map[string]*result{}
	for _, r := range rec.results {
		sent[r.id] = r
	}
	var all []*run
	for id, runs := range log.by {
		for _, r := range runs {
			r.id = id
			all = append(all, r)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	total, exposed, bad, late := 0, 0, 0, 0
	var fiftieth time.Time
	for _, r := range all {
		if r.at.After(ordered) && r.at.Before(ordered.Add(orderTime)) {
			total++
			if r.version == "v2" {
				exposed++
			}
		}
		if r.version == "v2" && !fiftieth.IsZero() && sent[r.id] != nil && sent[r.id].sent.After(fiftieth.Add(rollbackMS)) {
			late++
		}
		if r.bad {
			if bad++; bad == 50 {
				fiftieth = r.ended
			}
		}
		answer := "no answer"
		if q := sent[r.id]; q != nil {
			answer = fmt.Sprintf("sent %.3f to %s, answered %d", q.sent.Sub(ordered).Seconds(), q.host.name, q.status)
		}
		fmt.Fprintf(out, "%.3f %s %s run by %s %s bad=%v; %s\n", r.at.Sub(ordered).Seconds(), r.id, r.path, r.worker, r.version, r.bad, answer)
	}
	failed := 0
	for _, r := range rec.results {
		if r.status != 200 {
			failed++
		}
		if len(log.by[r.id]) == 0 {
			fmt.Fprintf(out, "%.3f %s %s sent to %s, answered %d, not run\n", r.sent.Sub(ordered).Seconds(), r.id, r.kind.name, r.host.name, r.status)
		}
	}
	allowed := exposeRate*float64(total) + exposeFree
	fmt.Fprintf(out, "\nversion v2 began %.3f s after the order", began.Sub(ordered).Seconds())
	if trouble {
		fmt.Fprintf(out, " and is bad from %.1f s after that on, in a share %.1f of its answers", lateBad.Seconds(), badShare)
	}
	fmt.Fprintln(out)
	for _, line := range states {
		fmt.Fprintln(out, line)
	}
	fmt.Fprintf(out, "%d of %d requests of clients were not answered 200\n", failed, len(rec.results))
	if !trouble {
		ok := state == "succeeded"
		fmt.Fprintf(out, "a good version: %d of %d requests in the time of its order, last state %q\n", exposed, total, state)
		return ok && len(rec.broken) == 0
	}
	fmt.Fprintf(out, "the bad version got %d of the %d requests that reached its service between the order and its deadline; allowed %.0f\n", exposed, total, allowed)
	fmt.Fprintf(out, "bad answers: %d; requests to it that were sent later than %v after the 50th: %d; allowed 0\n", bad, rollbackMS, late)
	return float64(exposed) <= allowed && late == 0
}
