package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

const (
	templateFile = "deploy/host.json.template"
	// boundsMachines and boundsEnds are the rule's bounds.
	boundsMachines, boundsEnds = 2, 3
	// boundsHosts is the size of the fleet, and boundsChanged the machines whose settings
	// change: the share .3 of hup.
	boundsHosts, boundsChanged = 7, 2
	// stopGap is the pause between two machines that are stopped.
	stopGap = 4 * time.Second
	// endsTime is how long ends are counted, and afterStop how long after a planned stop an
	// end does not count.
	endsTime, afterStop = 12 * time.Second, time.Second
)

// bounds changes one figure of the settings, GraceS, and restarts two of seven hosts in turn. With
// trouble the new figure is a fraction, without it a whole number. It judges the rule on
// programs that do not start and processes that end by themselves.
func bounds(r *record, trouble bool) int {
	text, err := os.ReadFile(templateFile)
	if err != nil {
		r.printf("cannot run: %v", err)
		return failedToRun
	}
	w, err := newWorld(boundsHosts, 284)
	if err != nil {
		r.printf("cannot run: %v", err)
		return failedToRun
	}
	defer w.close()
	w.configure(map[string]any{"Name": "lookup", "Host": routeHost, "PathPrefix": "/lookup/", "Kind": "idempotent", "TimeoutMs": 1000,
		"TargetLatencyMs": 100, "Priority": 2, "Service": service, "MaxAttempts": 2, "Public": true})
	for i := range 3 {
		if err := w.addWorker(fmt.Sprint("i-", i), &worker{work: 15 * time.Millisecond}); err != nil {
			r.printf("cannot run: %v", err)
			return failedToRun
		}
	}
	settings := func(h *host, grace any) {
		if err := os.WriteFile(h.settings, []byte(render(string(text), platformSettings(h, w.address, grace))), 0o600); err != nil {
			panic(err)
		}
	}
	for _, h := range w.hosts {
		settings(h, 8)
	}
	w.startHosts()
	if !w.awaitReady(10 * time.Second) {
		r.printf("cannot run: the hosts are not ready")
		return failedToRun
	}
	changed := w.hosts[:boundsChanged]
	before := w.ask(r, changed, "before", 20)
	r.printf("GraceS 8: %d of 20 requests to the machines answered", before)
	var grace any = 9
	if trouble {
		grace = 7.5
	}
	for _, h := range changed {
		settings(h, grace)
		h.signal(syscall.SIGHUP)
		r.printf("%s: the settings have changed, GraceS is %v, SIGHUP", h.name, grace)
	}
	time.Sleep(time.Second)
	for _, h := range changed {
		h.expectEnd()
		h.signal(syscall.SIGTERM)
		r.printf("%s: SIGTERM", h.name)
		time.Sleep(stopGap)
	}
	time.Sleep(endsTime)
	after, machines := w.ask(r, changed, "after", 20), 0
	for _, h := range changed {
		ends, counted := h.endsAfterStop()
		if counted >= boundsEnds {
			machines++
		}
		r.printf("%s: ended by itself %d times, %d of them more than %v after its planned stop; the last: %s", h.name, len(ends), counted, afterStop, lastReason(ends))
	}
	r.printf("GraceS %v: %d of 20 requests to the machines answered, processes of %d machines ended by themselves %d times or more",
		grace, after, machines, boundsEnds)
	switch {
	case before == 0:
		return failedToRun
	case machines >= boundsMachines:
		return broken
	}
	return held
}

// endsAfterStop returns the ends of the host's processes, and how many of them count.
func (h *host) endsAfterStop() (ends []end, counted int) {
	ends, _ = h.endings()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, ended := range ends {
		if !h.stoppedAt.IsZero() && ended.at.Sub(h.stoppedAt) > afterStop {
			counted++
		}
	}
	return ends, counted
}

func lastReason(ends []end) string {
	if len(ends) == 0 {
		return "none"
	}
	return ends[len(ends)-1].reason
}

// ask sends requests to hosts in turn.
func (w *world) ask(r *record, hosts []*host, name string, count int) (answered int) {
	for n := range count {
		h, id := hosts[n%len(hosts)], name+strconv.Itoa(n)
		status, body := newClient().get(context.Background(), h, "/lookup/x", id, time.Second)
		r.printf("request %s, sent to %s: answered %d %q", id, h.name, status, body)
		if status == http.StatusOK {
			answered++
		}
	}
	return answered
}

// platformSettings are the fields from which the platform fills in the template.
func platformSettings(h *host, store string, grace any) map[string]any {
	ip, port, _ := net.SplitHostPort(h.peers)
	ports, _ := strconv.Atoi(port)
	return map[string]any{
		"NodeName": h.name, "Zone": h.zone, "Region": "r", "Ip": ip, "Zones": map[string]any{h.zone: "r"},
		"Listen":        map[string]any{"Front": h.front, "Readiness": h.readiness},
		"InternalPorts": []any{ports, ports + 15},
		"Limits":        map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100},
		"Platform":      map[string]any{"Address": store},
		"Bounds": map[string]any{"GraceS": grace, "QuotaOverage": 0.1, "QuotaSlack": 140000, "QuotaWindowS": 8,
			"RetryBudgetRatio": 0.2, "BudgetSlack": 54, "ExposeShare": 0.1, "ExposeSlack": 50},
	}
}
