package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leakTime bounds the case from its start to the end of the load.
	leakTime = 114 * time.Second
	// leakMemoryMB is the memory of the smallest machine on the users' sheets.
	leakMemoryMB = 112
	// leakClients is the number of clients of each host. Each keeps one
	// connection open and sends one request after the other.
	leakClients = 750
	// leakPause is the pause of a client between an answer and its next request.
	leakPause = 60 * time.Millisecond
	// leakMachines and leakEnds are the rule's bounds: processes of two machines at least
	// end by themselves three times.
	leakMachines, leakEnds = 2, 3
)

// leak plays workers whose answers have no length and end with their connection; without
// trouble they have one. It judges the rule on processes that end by themselves.
func leak(r *record, trouble bool) int {
	log.SetOutput(io.Discard) // clients of a host that was killed log broken connections
	w, err := newWorld(2, leakMemoryMB)
	if err != nil {
		r.printf("cannot run: %v", err)
		return failedToRun
	}
	defer w.close()
	w.configure(map[string]any{"Name": "lookup", "Host": routeHost, "PathPrefix": "/lookup/", "Kind": "idempotent", "TimeoutMs": 1000,
		"TargetLatencyMs": 100, "Priority": 2, "Service": service, "MaxAttempts": 2, "Public": true})
	for i := range 9 {
		if err := w.addWorker(fmt.Sprint("i-", i), &worker{work: 2 * time.Millisecond, noLength: trouble}); err != nil {
			r.printf("cannot run: %v", err)
			return failedToRun
		}
	}
	w.startHosts()
	if !w.awaitReady(10 * time.Second) {
		r.printf("cannot run: the hosts are not ready")
		return failedToRun
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.start.Add(leakTime))
	defer cancel()
	var sent, answered, refused atomic.Int64
	var clients sync.WaitGroup
	for n, h := range w.hosts {
		for c := range leakClients {
			clients.Go(func() {
				client := newClient()
				for i := 0; ctx.Err() == nil; i++ {
					sent.Add(1)
					if status, _ := client.get(ctx, h, "/lookup/x", fmt.Sprintf("%d-%d-%d", n, c, i), time.Second); status == http.StatusOK {
						answered.Add(1)
					} else {
						refused.Add(1)
					}
					time.Sleep(leakPause)
				}
			})
		}
	}
	machines := 0
	for ctx.Err() == nil && machines < leakMachines {
		time.Sleep(time.Second)
		machines = 0
		line := fmt.Sprintf("sent %d, answered %d, failed or refused %d, run %d", sent.Load(), answered.Load(), refused.Load(), w.runs())
		for _, h := range w.hosts {
			ends, residentKB := h.endings()
			overMemory := 0
			for _, ended := range ends {
				if ended.overMemory {
					overMemory++
				}
			}
			if overMemory >= leakEnds {
				machines++
			}
			line += fmt.Sprintf("; %s held %d KB at most, ended %d times, %d of them over %d MB", h.name, residentKB, len(ends), overMemory, leakMemoryMB)
		}
		r.printf("%s", line)
	}
	cancel()
	clients.Wait()
	if machines >= leakMachines {
		r.printf("broken: the processes of %d machines ended by themselves %d times or more", machines, leakEnds)
		return broken
	}
	if answered.Load() == 0 {
		r.printf("cannot run: no request was answered")
		return failedToRun
	}
	return held
}
