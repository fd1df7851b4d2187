package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// link is a proxy between one machine and the store. It can be cut without a word.
type link struct {
	mu    sync.Mutex
	cut   chan struct{} // closed while the link works
	conns []net.Conn
	to    string
}

func newLink(to string) (*link, string) {
	l := &link{to: to, cut: make(chan struct{})}
	close(l.cut)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, listener.Addr().String()
}

func (l *link) open() chan struct{} { l.mu.Lock(); defer l.mu.Unlock(); return l.cut }

func (l *link) setCut() { l.mu.Lock(); l.cut = make(chan struct{}); l.mu.Unlock() }

func (l *link) heal() { l.mu.Lock(); close(l.cut); l.mu.Unlock() }

func (l *link) serve(c net.Conn) {
	<-l.open()
	up, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = c.Close()
		return
	}
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 16<<10)
		for {
			n, err := from.Read(buffer)
			<-l.open()
			if n > 0 {
				if _, werr := to.Write(buffer[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	go pass(up, c)
	pass(c, up)
}

// spread changes the configuration and drains workers while other machines are in trouble, and checks
// CONFIG and DRAIN on the machines in touch.
func spread(out io.Writer, hostCount int, seconds, apply, stable time.Duration, troubles []string) bool {
	s := newStore()
	address := s.listen()
	version := 1
	extra := []any{}
	s.put("config", "main", config(version, nil))
	log := &runsLog{by: map[string][]*run{}}
	for i := 0; i < 4; i++ {
		w := &worker{id: fmt.Sprint("l-", i), service: "ledger", zone: "za", version: "v1", slots: 50, store: s, log: log, work: time.Millisecond, handle: versioned(0)}
		w.start()
	}
	var hosts []*host
	links := map[*host]*link{}
	for i := 0; i < hostCount; i++ {
		l, at := newLink(address)
		h := newHost(i, []string{"za", "zb", "zc"}[i%3], at)
		links[h] = l
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		h.start()
	}
	if !awaitReady(hosts, 30*time.Second) {
		check(fmt.Errorf("the hosts are not ready"))
	}
	time.Sleep(stable + time.Second)
	var mu sync.Mutex
	broken := 0
	worst := time.Duration(0)
	end := time.Now().Add(seconds)
	for round := 0; time.Now().Before(end); round++ {
		var hit []*host
		kind := troubles[rand.Intn(len(troubles))]
		for n := 1 + rand.Intn(2); n > 0; n-- {
			hit = append(hit, hosts[rand.Intn(len(hosts))])
		}
		if rand.Intn(2) == 0 { // several of one zone
			z := rand.Intn(3)
			hit = nil
			for i, h := range hosts {
				if i%3 == z && rand.Intn(2) == 0 {
					hit = append(hit, h)
				}
			}
		}
		for _, h := range hit {
			h.unplanned = time.Now()
			switch kind {
			case "freeze":
				h.signal(syscall.SIGSTOP)
			case "kill":
				h.signal(syscall.SIGKILL)
			case "cut":
				links[h].setCut()
			}
		}
		time.Sleep(time.Duration(rand.Intn(400)) * time.Millisecond)
		version++
		path := fmt.Sprintf("/added%d/", version)
		extra = append(extra, route(fmt.Sprint("added", version), path, "idempotent", "ledger", 2, 1000, 100))
		if len(extra) > 5 {
			extra = extra[1:]
		}
		s.put("config", "main", config(version, func(c map[string]any) { c["Routes"] = append(c["Routes"].([]any), extra...) }))
		acked := time.Now()
		var wait sync.WaitGroup
		for _, h := range hosts {
			isHit := false
			for _, o := range hit {
				isHit = isHit || o == h
			}
			if isHit || time.Since(h.unplanned) < stable {
				continue
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
				for time.Since(acked) < apply+2*time.Second {
					sent := time.Now()
					r, _ := http.NewRequest("GET", "http://"+h.front+path+"x", nil)
					r.Host = "site.example"
					r.Header.Set("Attempt-Id", fmt.Sprintf("p%d", ids.Add(1)))
					r.Header.Set("Deadline-Ms", "1000")
					r.Header.Set("Authorization", "Bearer key1")
					response, err := client.Do(r)
					status := 0
					if err == nil {
						status = response.StatusCode
						_ = response.Body.Close()
					}
					took := sent.Sub(acked)
					if status == 200 {
						mu.Lock()
						worst = max(worst, took)
						mu.Unlock()
						return
					}
					if took > apply && status == 404 {
						mu.Lock()
						broken++
						fmt.Fprintf(out, "round %d (%s of %d): %s answers 404 %v after the acknowledgement of %d\n", round, kind, len(hit), h.name, took, version)
						mu.Unlock()
						return
					}
					time.Sleep(30 * time.Millisecond)
				}
			}()
		}
		wait.Wait()
		fmt.Fprintf(out, "round %d (%s of %d): worst so far %v\n", round, kind, len(hit), worst)
		time.Sleep(time.Duration(rand.Intn(2000)) * time.Millisecond)
		for _, h := range hit {
			h.unplanned = time.Now()
			switch kind {
			case "freeze":
				h.signal(syscall.SIGCONT)
			case "kill":
				h.wait()
				h.start()
			case "cut":
				links[h].heal()
			}
		}
		time.Sleep(stable + time.Second)
	}
	fmt.Fprintf(out, "worst %v, late %d\n", worst, broken)
	return broken == 0
}
