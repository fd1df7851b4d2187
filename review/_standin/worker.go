package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// run is one run of a request on a worker.
type run struct {
	Worker, Attempt, Method, Target string
	Began, Ended                    time.Time
	// Whole reports that the whole answer was written, Lost that it was lost after the run
	// had begun.
	Whole, Lost bool
	LostAt      time.Time
}

// worker is a stand-in for one of the users' workers.
type worker struct {
	id, service, version, address string
	slots                         int
	born                          time.Time
	// work is the time of a plain request, prefill the time to the first event of a
	// stream, gap that between two events, events their number.
	work, prefill, gap time.Duration
	events             int

	// losing reports whether the answer to the next request is lost, nil for never: its
	// connection is reset after some events, and the worker runs the request to its end.
	losing func() bool

	store    *store
	listener net.Listener
	server   *http.Server
	stopBeat chan struct{}

	mu      sync.Mutex
	runs    []*run
	running int
	state   string
}

func (w *worker) start(s *store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address, w.listener, w.store, w.born, w.state = listener.Addr().String(), listener, s, time.Now(), "ready"
	if w.version == "" {
		w.version = "v1"
	}
	w.stopBeat = make(chan struct{})
	w.server = &http.Server{Handler: w, IdleTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	w.beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				w.beat()
			case <-w.stopBeat:
				return
			}
		}
	}()
	return nil
}

// beat writes the worker's entry to the store, whose revision changes only with more than
// the count of the beats.
func (w *worker) beat() {
	w.mu.Lock()
	spec := map[string]any{"Service": w.service, "Address": w.address, "Zone": "zone-a", "Version": w.version, "Slots": w.slots,
		"State": w.state, "ColdRemainingMs": 0, "Sequence": 1, "born": w.born.UnixMilli()}
	w.mu.Unlock()
	w.store.operatorPut("servers", w.id, spec)
}

// ServeHTTP implements the calls of the system.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	header := out.Header()
	header.Set("Keep-Alive", "timeout=5")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		header.Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		header.Set("Instance-Id", w.id)
		return
	}
	if r.URL.Path == "/kingcupcourse/report" {
		answer(out, http.StatusOK, w.report())
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	header.Set("Attempt-Id", attempt)
	_, _ = io.Copy(io.Discard, r.Body)
	w.mu.Lock()
	if w.running >= 3*w.slots {
		w.mu.Unlock()
		header.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	this := &run{Worker: w.id, Attempt: attempt, Method: r.Method, Target: r.RequestURI, Began: time.Now()}
	w.runs = append(w.runs, this)
	w.running++
	w.mu.Unlock()
	header.Set("Response-Seal", "seal."+attempt)
	if w.losing != nil && w.losing() {
		w.runAndLose(out, r, this)
		return
	}
	whole := w.answer(out, r, w.events)
	w.mu.Lock()
	w.running--
	this.Ended, this.Whole = time.Now(), whole
	w.mu.Unlock()
}

// report returns what the worker says of itself.
func (w *worker) report() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := []any{}
	for _, r := range w.runs {
		if r.Ended.IsZero() {
			runs = append(runs, []any{r.Attempt, 0, 0, 0})
		}
	}
	return map[string]any{"Stage": "both", "Busy": false, "Queued": 0, "Running": w.running, "Runs": runs, "State": w.state,
		"born": w.born.UnixMilli()}
}

// answer does the work of a request and writes its answer, up to the event of that number. It reports whether the caller
// waited for all of it.
func (w *worker) answer(out http.ResponseWriter, r *http.Request, events int) bool {
	if r.Header.Get("Token-Counts") == "" {
		if !wait(r, w.work) {
			return false
		}
		_, err := fmt.Fprintf(out, "done %s\n", r.Header.Get("Attempt-Id"))
		return err == nil
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if !wait(r, w.prefill) {
		return false
	}
	out.Header().Set("Content-Type", "text/event-stream")
	for id := first; id <= events; id++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 60)); err != nil {
			return false
		}
		if http.NewResponseController(out).Flush() != nil || (id < events && !wait(r, w.gap)) {
			return false
		}
	}
	return true
}

// eventsBeforeLoss is how many events of a lost answer reach the caller.
const eventsBeforeLoss = 3

// runAndLose resets the connection of a stream after some events, and goes on with the run.
func (w *worker) runAndLose(out http.ResponseWriter, r *http.Request, this *run) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.mu.Lock()
	this.Lost = true
	w.mu.Unlock()
	w.answer(out, r, last+eventsBeforeLoss)
	connection, _, err := http.NewResponseController(out).Hijack()
	if err == nil {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
	w.mu.Lock()
	this.LostAt = time.Now()
	w.mu.Unlock()
	time.Sleep(time.Duration(w.events-eventsBeforeLoss) * w.gap)
	w.mu.Lock()
	w.running--
	this.Ended = time.Now()
	w.mu.Unlock()
}

// wait waits for the duration, or returns false if the caller leaves.
func wait(r *http.Request, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-r.Context().Done():
		return false
	}
}

// runsByAttempt returns the runs of all workers.
func runsByAttempt(workers []*worker) map[string][]*run {
	all := map[string][]*run{}
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			copied := *r
			all[r.Attempt] = append(all[r.Attempt], &copied)
		}
		w.mu.Unlock()
	}
	return all
}
