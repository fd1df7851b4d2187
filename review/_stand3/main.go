// Command _stand3 runs the programs of the deploy file against stand-ins on the real clock.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func config(version int, edit func(map[string]any)) map[string]any {
	c := map[string]any{"Version": version, "Routes": []any{
		route("read", "/read/", "idempotent", "ledger", 2, 1000, 100),
		route("file", "/file/", "non_idempotent", "ledger", 1, 1000, 100),
		route("draft", "/draft/", "streaming", "pool", 1, 8000, 600),
		resumable(route("digest", "/digest/", "streaming", "pool", 2, 8000, 300)),
	}, "Services": []any{
		map[string]any{"Name": "ledger", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false},
		map[string]any{"Name": "pool", "HealthPath": "/healthz", "MaxConns": 360, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{"Slots": 11, "KvCacheTokens": 854660, "Stride": 6}},
	}, "Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{tenant("t1", "key1", 200000, 200000), tenant("t2", "key2", 200000, 200000)}}
	if edit != nil {
		edit(c)
	}
	return c
}

func route(name, path, kind, service string, attempts, timeout, target int) map[string]any {
	return map[string]any{"Name": name, "Host": "site.example", "PathPrefix": path, "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": target,
		"Priority": 1, "Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": false, "Resumable": false, "GapTargetMs": 200}
}

func resumable(r map[string]any) map[string]any { r["Resumable"] = true; return r }

func tenant(name, key string, rate, burst float64) map[string]any {
	return map[string]any{"Name": name, "ApiKeys": []string{key}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200, "RatePerS": rate, "Burst": burst}
}

var kinds = []*kind{
	{name: "read", path: "/read/", method: "GET"},
	{name: "file", path: "/file/", method: "POST", once: true},
	{name: "draft", path: "/draft/", method: "POST", once: true, stream: true},
	{name: "digest", path: "/digest/", method: "POST", stream: true, resume: true},
}

func main() {
	var err error
	folder, err = os.MkdirTemp("", "stand3-")
	check(err)
	if p := os.Getenv("PROGRAM"); p != "" {
		program = p
	}
	code := play(os.Args[1:])
	cleanUp()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// play runs a case with its folder, or chaos with the kinds of trouble. It returns 1 if a rule was
// broken.
func play(args []string) int {
	if len(args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: _stand3 CASE FOLDER | chaos TROUBLE,...")
		return 2
	}
	if args[0] == "chaos" {
		return chaos(strings.Split(args[1], ","))
	}
	out, err := os.Create(filepath.Join(args[1], "record.txt"))
	check(err)
	defer func() { _ = out.Close() }()
	trouble, held := os.Getenv("TROUBLE") != "0", true
	switch args[0] {
	case "late":
		held = late(trouble, out)
	case "drill":
		held = drill(trouble, out)
	case "spread":
		held = spread(out, int(num("HOSTS", 20)), time.Duration(num("SECONDS", 60))*time.Second, time.Duration(num("APPLY_MS", 3000))*time.Millisecond,
			time.Duration(num("STABLE_MS", 4000))*time.Millisecond, strings.Split(os.Getenv("TROUBLES"), ","))
	default:
		fmt.Fprintln(os.Stderr, "no such case:", args[0])
		return 2
	}
	if !held {
		fmt.Fprintln(out, "BROKEN")
		return 1
	}
	fmt.Fprintln(out, "held")
	return 0
}
func num(name string, value float64) float64 {
	if v, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return v
	}
	return value
}

// chaos plays random trouble and checks what must always hold.
func chaos(troubles []string) int {
	s := newStore()
	address := s.listen()
	s.put("config", "main", config(1, nil))
	log := &runsLog{by: map[string][]*run{}}
	var workers []*worker
	for i := 0; i < 9; i++ {
		w := &worker{id: fmt.Sprintf("i-%d", i), service: "pool", zone: []string{"za", "zb", "zc"}[i%3], version: "v1", slots: 11, store: s, log: log,
			faults: num("FAULTS", 0.1), work: 20 * time.Millisecond, handle: stream, only: os.Getenv("ONLY")}
		if i < 3 {
			w.service, w.slots, w.handle = "ledger", 6, plain
		}
		w.start()
		workers = append(workers, w)
	}
	var hosts []*host
	for i := 0; i < int(num("HOSTS", 7)); i++ {
		hosts = append(hosts, newHost(i, []string{"za", "zb", "zc"}[i%3], address))
	}
	for _, h := range hosts {
		h.start()
	}
	if !awaitReady(hosts, 15*time.Second) {
		fmt.Println("hosts not ready")
		return 2
	}
	rec := &record{broken: map[string]int{}}
	end := time.Now().Add(time.Duration(num("SECONDS", 30)) * time.Second)
	done := make(chan bool)
	n := int(num("CLIENTS", 60))
	for i := 0; i < n; i++ {
		go func(i int) {
			c := newClient([]string{"key1", "key2"}[i%2], rec)
			for time.Now().Before(end) {
				k := kinds[rand.Intn(len(kinds))]
				h := hosts[rand.Intn(len(hosts))]
				if rand.Intn(20) != 0 {
					h = hosts[i%len(hosts)]
				}
				deadline := time.Second
				if k.stream {
					deadline = 8 * time.Second
				}
				if rand.Float64() < num("GIVEUP", 0.05) {
					deadline = time.Duration(5+rand.Intn(100)) * time.Millisecond
				}
				res := c.call(h, k, deadline)
				if res.status == 503 || res.status == 429 || res.status == 0 {
					time.Sleep(time.Duration(rand.Intn(40)) * time.Millisecond)
				}
				time.Sleep(time.Duration(rand.Intn(int(num("PAUSE", 60)))) * time.Millisecond)
			}
			done <- true
		}(i)
	}
	version := 1
	for time.Now().Before(end) && len(troubles) > 0 && troubles[0] != "none" {
		time.Sleep(time.Duration(300+rand.Intn(1500)) * time.Millisecond)
		h, w := hosts[rand.Intn(len(hosts))], workers[rand.Intn(len(workers))]
		switch troubles[rand.Intn(len(troubles))] {
		case "freeze":
			h.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(300+rand.Intn(2500)) * time.Millisecond)
			h.signal(syscall.SIGCONT)
		case "kill":
			h.signal(syscall.SIGKILL)
			h.wait()
			time.Sleep(200 * time.Millisecond)
			h.start()
		case "term":
			h.signal(syscall.SIGTERM)
			began := time.Now()
			h.wait()
			if took := time.Since(began); took > 8*time.Second || h.code != 0 {
				rec.fail("STOP", "%s took %v, code %d", h.name, took, h.code)
			}
			h.start()
		case "hup":
			h.signal(syscall.SIGHUP)
		case "crash":
			w.crash(rand.Intn(2) == 0)
			time.Sleep(time.Duration(rand.Intn(1000)) * time.Millisecond)
			w.start()
		case "drain":
			s.put("servers", w.id, w.spec("draining"))
			time.Sleep(2500 * time.Millisecond)
			w.crash(false)
			s.remove("servers", w.id)
			w.id += "x"
			w.start()
		case "config":
			version += 1 + rand.Intn(3)
			s.put("config", "main", config(version, nil))
		case "down":
			s.setMode([]string{"busy", "silent"}[rand.Intn(2)])
			time.Sleep(time.Duration(500+rand.Intn(3000)) * time.Millisecond)
			s.setMode("")
		}
	}
	for i := 0; i < n; i++ {
		<-done
	}
	time.Sleep(time.Second)
	judge(rec, log, hosts)
	if len(rec.broken) > 0 {
		return 1
	}
	return 0
}

func judge(rec *record, log *runsLog, hosts []*host) {
	sent, tally := map[string]*result{}, map[string]int{}
	for _, r := range rec.results {
		sent[r.id] = r
		key := fmt.Sprint(r.kind.name, " ", r.status)
		if !r.answered {
			note := r.note
			if i := strings.LastIndex(note, ": "); i >= 0 {
				note = note[i+2:]
			}
			key += " cut: " + note
		}
		tally[key]++
		runs := log.of(r.id)
		if r.kind.once && len(runs) > 1 {
			rec.fail("TWICE", "%s (%s): %d runs at %s and %s", r.id, r.kind.name, len(runs), runs[0].worker, runs[1].worker)
		}
		switch r.status {
		case 429, 503, 408, 421:
			if r.kind.once && len(runs) > 0 {
				rec.fail("REFUSED", "%s (%s): %d and run at %s", r.id, r.kind.name, r.status, runs[0].worker)
			}
		case 400, 401, 403, 404, 413, 431:
			rec.fail("DENIED", "%s: %d", r.id, r.status)
		}
		if r.status == 0 && r.kept && len(runs) > 0 && !strings.Contains(r.note, "deadline") && r.sent.Sub(r.host.unplanned) > 3*time.Second && r.ended.Before(r.host.unplanned) == false {
			rec.fail("LOST?", "%s (%s) at %s: %s; run at %s", r.id, r.kind.name, r.host.name, r.note, runs[0].worker)
		}
	}
	for id, runs := range log.by {
		r := sent[id]
		if r == nil {
			rec.fail("UNASKED", "%s was not sent", id)
			continue
		}
		for _, run := range runs {
			if run.path != r.kind.path+id+"?q="+id || run.method != r.kind.method || run.tenant == "" {
				rec.fail("UNASKED", "%s: %s %s tenant %q", id, run.method, run.path, run.tenant)
			}
		}
	}
	for _, h := range hosts {
		fmt.Println(h.name, "peak memory", h.peakMemory())
		if !h.alive() {
			rec.fail("ENDED", "%s with code %d", h.name, h.code)
		}
	}
	fmt.Println("requests", len(rec.results))
	for k, n := range tally {
		fmt.Printf("  %6d %s\n", n, k)
	}
	fmt.Println("broken:", rec.broken)
	for _, l := range rec.lines {
		fmt.Println(l)
	}
}
