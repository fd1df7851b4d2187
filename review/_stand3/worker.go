package main

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a worker.
type run struct {
	id, worker, version        string
	at, ended                  time.Time
	path, method, tenant, body string
	bad                        bool
}

// runs holds what all workers have run, by Attempt-Id.
type runsLog struct {
	mu sync.Mutex
	by map[string][]*run
}

func (l *runsLog) add(id string, r *run) { l.mu.Lock(); l.by[id] = append(l.by[id], r); l.mu.Unlock() }

func (l *runsLog) of(id string) []*run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*run(nil), l.by[id]...)
}

// worker is a stand-in of a worker.
type worker struct {
	id, service, zone, version, address string
	slots                               int
	store                               *store
	log                                 *runsLog
	faults                              float64 // share of the answers that are spoilt
	only                                string  // the only kind of fault, if set
	work                                time.Duration
	mu                                  sync.Mutex
	listener                            net.Listener
	conns                               map[net.Conn]bool
	dead                                bool
	born                                int64
	handle                              func(w *worker, c net.Conn, r *http.Request, body string) bool
}

func (w *worker) spec(state string) map[string]any {
	return map[string]any{"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": w.version, "Slots": w.slots,
		"State": state, "ColdRemainingMs": 0, "Sequence": 1, "born": w.born}
}

func (w *worker) start() {
	if w.address == "" {
		w.address = freePort("127.0.0.1")
	}
	var l net.Listener
	var err error
	for i := 0; i < 50; i++ {
		if l, err = net.Listen("tcp", w.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(err)
	w.mu.Lock()
	w.listener, w.conns, w.dead, w.born = l, map[net.Conn]bool{}, false, time.Now().UnixMilli()
	w.mu.Unlock()
	w.store.put("servers", w.id, w.spec("ready"))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
}

// crash ends the worker as the kernel does for a process that is killed.
func (w *worker) crash(reset bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	_ = w.listener.Close()
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func bodyFor(id string, n int) string {
	s := fmt.Sprintf("%08x-", crc32.ChecksumIEEE([]byte(id)))
	return strings.Repeat(s, n/len(s)+1)[:n]
}

func sizeFor(id string) int { return 20 + int(crc32.ChecksumIEEE([]byte("n"+id))%1500) }

func seal(id string) string { return fmt.Sprintf("s.%08x", crc32.ChecksumIEEE([]byte("seal"+id))) }

func eventsFor(id string) int { return 2 + int(crc32.ChecksumIEEE([]byte("e"+id))%12) }

func (w *worker) serve(c net.Conn) {
	defer func() { w.mu.Lock(); delete(w.conns, c); w.mu.Unlock(); _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.handle(w, c, r, string(raw)) {
			return
		}
	}
}

func head(status int, id string, extra ...string) string {
	h := fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nKeep-Alive: timeout=5\r\n", status, id)
	for _, e := range extra {
		h += e + "\r\n"
	}
	return h
}

// plain answers a request to a plain service, and spoils some answers as PROTOCOL.md allows.
func plain(w *worker, c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("Attempt-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		_, _ = io.WriteString(c, head(421, id, "Instance-Id: "+w.id, "Content-Length: 0")+"\r\n")
		return true
	}
	fault := ""
	if rand.Float64() < w.faults {
		all := []string{"shed", "shed", "noid", "500", "reset", "resetmid", "truncate", "extra", "lateextra", "close", "silentclose", "unframed", "garbage", "busy503"}
		fault = all[rand.Intn(len(all))]
		if w.only != "" {
			fault = w.only
		}
	}
	if fault == "shed" {
		_, _ = io.WriteString(c, head(503, id, "Not-Executed: 1", "Content-Length: 0")+"\r\n")
		return true
	}
	if fault == "noid" {
		_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	entry := &run{worker: w.id, at: time.Now(), path: r.RequestURI, method: r.Method, tenant: r.Header.Get("Tenant"), body: body}
	w.log.add(id, entry)
	time.Sleep(time.Duration(float64(w.work) * (0.5 + rand.Float64())))
	b := bodyFor(id, sizeFor(id))
	whole := head(200, id, "Response-Seal: "+seal(id), fmt.Sprintf("Content-Length: %d", len(b))) + "\r\n" + b
	switch fault {
	case "500":
		_, _ = io.WriteString(c, head(500, id, "Response-Seal: "+seal(id), "Content-Length: 4")+"\r\noops")
	case "busy503":
		_, _ = io.WriteString(c, head(503, id, "Content-Length: 0")+"\r\n")
	case "reset":
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case "resetmid":
		_, _ = io.WriteString(c, whole[:len(whole)-len(b)/2-1])
		time.Sleep(time.Duration(rand.Intn(3)) * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case "truncate":
		_, _ = io.WriteString(c, whole[:len(whole)-1-rand.Intn(len(b))])
		return false
	case "extra":
		other := head(200, "other-"+id, "Response-Seal: s.other", "Content-Length: 5") + "\r\nwrong"
		_, _ = io.WriteString(c, whole+other)
	case "lateextra":
		_, _ = io.WriteString(c, whole)
		go func() {
			time.Sleep(time.Duration(rand.Intn(20)) * time.Millisecond)
			_, _ = io.WriteString(c, whole)
		}()
	case "close":
		_, _ = io.WriteString(c, head(200, id, "Response-Seal: "+seal(id), "Connection: close", fmt.Sprintf("Content-Length: %d", len(b)))+"\r\n"+b)
		return false
	case "silentclose":
		_, _ = io.WriteString(c, whole)
		time.Sleep(time.Duration(rand.Intn(30)) * time.Millisecond)
		return false
	case "unframed":
		_, _ = io.WriteString(c, head(200, id, "Response-Seal: "+seal(id))+"\r\n"+b)
		return false
	case "garbage":
		_, _ = io.WriteString(c, "\x00\x01 this is no answer\r\n\r\n")
		return false
	default:
		_, err := io.WriteString(c, whole)
		return err == nil
	}
	return true
}

// stream answers with events, from the one after Last-Event-Id on.
func stream(w *worker, c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("Attempt-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		_, _ = io.WriteString(c, head(421, id, "Content-Length: 0")+"\r\n")
		return true
	}
	fault := ""
	if rand.Float64() < w.faults {
		all := []string{"shed", "noid", "500", "reset", "cut", "cutinside", "cut", "cutinside", "close", "unframed", "lastcut"}
		fault = all[rand.Intn(len(all))]
		if w.only != "" {
			fault = w.only
		}
	}
	switch fault {
	case "shed":
		_, _ = io.WriteString(c, head(503, id, "Not-Executed: 1", "Content-Length: 0")+"\r\n")
		return true
	case "noid":
		_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	entry := &run{worker: w.id, at: time.Now(), path: r.RequestURI, method: r.Method, tenant: r.Header.Get("Tenant"), body: body}
	w.log.add(id, entry)
	time.Sleep(time.Duration(float64(w.work) * (0.5 + rand.Float64())))
	if fault == "500" {
		_, _ = io.WriteString(c, head(500, id, "Response-Seal: "+seal(id), "Content-Length: 4")+"\r\noops")
		return true
	}
	if fault == "reset" {
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	framed := fault != "unframed"
	h := head(200, id, "Response-Seal: "+seal(id), "Content-Type: text/event-stream")
	if framed {
		h = head(200, id, "Response-Seal: "+seal(id), "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
	}
	if _, err := io.WriteString(c, h+"\r\n"); err != nil {
		return false
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	total := eventsFor(id)
	cutAt := first + rand.Intn(total)
	send := func(s string) bool {
		if framed {
			s = fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
		}
		_, err := io.WriteString(c, s)
		return err == nil
	}
	for i := first; i <= total; i++ {
		time.Sleep(time.Duration(rand.Intn(15)) * time.Millisecond)
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, bodyFor(fmt.Sprint(id, i), 40))
		if i == cutAt && (fault == "cut" || fault == "cutinside") {
			if fault == "cutinside" {
				_ = send(e[:5+rand.Intn(len(e)-6)])
			}
			if rand.Intn(2) == 0 {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return false
		}
		if !send(e) {
			return false
		}
	}
	if fault == "lastcut" {
		return false
	}
	if framed {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	return framed && fault != "close"
}
