package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"os"
	"sync"
	"syscall"
	"time"
)

// The figures of the drill.
const (
	drillOrder = 10 * time.Second // DurationS
	recovery   = 12 * time.Second // RecoveryS
)

// drill moves both services to a sound version. Right after the last order was answered all processes
// are killed, and the store comes back from a copy of a few seconds before. It checks RECOVER.
func drill(trouble bool, out io.Writer) bool {
	began := time.Now()
	say := func(format string, args ...any) {
		fmt.Fprintf(out, "%7.3f ", time.Since(began).Seconds())
		fmt.Fprintf(out, format+"\n", args...)
	}
	s := newStore()
	address := s.listen()
	s.put("config", "main", config(1, nil))
	log := &runsLog{by: map[string][]*run{}}
	services := []string{"ledger", "pool"}
	live := map[string][]*worker{} // by service and version
	add := func(service, version string) {
		for i, zone := range []string{"za", "zb", "zc"} {
			w := &worker{id: fmt.Sprint(service, version, i), service: service, zone: zone, version: version, slots: 11, store: s, log: log,
				work: 15 * time.Millisecond, handle: versioned(0)}
			if service == "pool" {
				w.handle = stream
			}
			w.start()
			live[service+version] = append(live[service+version], w)
		}
	}
	for _, service := range services {
		add(service, "v1")
	}
	var hosts []*host
	for i := 0; i < 2; i++ {
		hosts = append(hosts, newHost(i, []string{"za", "zb", "zc"}[i%3], address))
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
	for i := 0; i < 80; i++ {
		callers.Add(1)
		go func() {
			defer callers.Done()
			c := newClient([]string{"key1", "key2"}[i%2], rec)
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(200+rand.Intn(200)) * time.Millisecond):
				}
				k := kinds[n%len(kinds)]
				deadline := time.Second
				if k.stream {
					deadline = 8 * time.Second
				}
				c.call(hosts[rand.Intn(len(hosts))], k, deadline)
			}
		}()
	}
	time.Sleep(6 * time.Second)
	copied, copiedAt := s.copyState(), time.Now()
	for _, service := range services {
		s.put("rollouts", service, map[string]any{"Service": service, "Target": "v2", "DurationS": drillOrder.Seconds()})
		add(service, "v2")
	}
	ordered := time.Now()
	say("both services are ordered to v2")
	state := map[string]string{}
	var done sync.Map
	watch := func(service string) string {
		var status struct{ State, Target string }
		if o := s.get("rollouts", service); o != nil {
			_ = json.Unmarshal(o.Status, &status)
		}
		if status.State != state[service] {
			state[service] = status.State
			say("the order of %s is %q", service, status.State)
			if status.State == "succeeded" { // the old workers stop at once
				if _, again := done.LoadOrStore(service, true); !again {
					for _, w := range live[service+"v1"] {
						w.crash(false)
						s.remove("servers", w.id)
					}
				}
			}
		}
		return status.State
	}
	for {
		if ledger, pool := watch("ledger"), watch("pool"); ledger == "succeeded" && pool == "succeeded" {
			break
		}
		if time.Since(ordered) > drillOrder+5*time.Second {
			check(fmt.Errorf("the orders are not answered"))
		}
		time.Sleep(5 * time.Millisecond)
	}
	fault := time.Now()
	kill, restore := trouble && os.Getenv("KILL") != "0", trouble && os.Getenv("RESTORE") != "0"
	if kill {
		for _, h := range hosts {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range hosts {
			h.wait()
		}
		say("all processes are killed")
	}
	if restore {
		s.setMode("busy")
		time.Sleep(300 * time.Millisecond)
		s.restore(copied)
		s.setMode("")
		say("the store is back from a copy that is %.1f s old", time.Since(copiedAt).Seconds())
		for _, service := range services { // what the operator and the workers wrote is written again
			for _, w := range live[service+"v2"] {
				s.put("servers", w.id, w.spec("ready"))
			}
			o := s.get("rollouts", service)
			if o == nil {
				s.put("rollouts", service, map[string]any{"Service": service, "Target": "v2", "DurationS": drillOrder.Seconds()})
			}
		}
		for _, service := range services { // and that the old ones have left
			for _, w := range live[service+"v1"] {
				s.remove("servers", w.id)
			}
		}
	}
	if kill {
		time.Sleep(500 * time.Millisecond)
		for _, h := range hosts {
			h.start()
		}
	}
	back := time.Now()
	say("the machines are back")
	for time.Since(back) < recovery+15*time.Second {
		watch("ledger")
		watch("pool")
		time.Sleep(5 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for _, r := range rec.results {
		runs := log.of(r.id)
		at := "not run"
		if len(runs) > 0 {
			at = "run by " + runs[0].worker
		}
		fmt.Fprintf(out, "%7.3f %s %s to %s: %d, complete %v, %s\n", r.sent.Sub(began).Seconds(), r.id, r.kind.name, r.host.name, r.status, r.answered, at)
		served := r.status == 200 && r.answered
		switch {
		case r.sent.Before(fault):
			before++
			if served {
				servedBefore++
			}
		case r.sent.After(back.Add(recovery)):
			after++
			if served {
				servedAfter++
			}
		}
	}
	fmt.Fprintf(out, "served before the fault: %d of %d; sent later than %v after the machines were back: %d of %d\n", servedBefore, before, recovery, servedAfter, after)
	return 4*servedAfter >= after || 4*servedBefore < before
}
