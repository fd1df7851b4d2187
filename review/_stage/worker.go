package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// worker is a stand-in of a worker of a plain service.
type worker struct {
	id, service, zone, address string
	born                       int64
	work                       time.Duration
	// noLength makes answers end with their connection.
	noLength bool
	// leaving makes answers say that the worker leaves.
	leaving atomic.Bool
	// ran is told of each request that begins to run.
	ran   func(w *worker, attempt string)
	total atomic.Int64

	server *http.Server
}

// start listens on a free port of a loopback address.
func (w *worker) start(ip string) error {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	w.address, w.born = listener.Addr().String(), time.Now().UnixMilli()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	return nil
}

// entry is what the worker writes to the store.
func (w *worker) entry(state string, sequence int) map[string]any {
	return map[string]any{"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 64,
		"State": state, "ColdRemainingMs": 0, "Sequence": sequence, "born": w.born}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	attempt, header := r.Header.Get("Attempt-Id"), rw.Header()
	header.Set("Attempt-Id", attempt)
	if w.leaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	if r.Header.Get("Expect-Instance") != w.id {
		header.Set("Instance-Id", w.id)
		header.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.total.Add(1)
	if w.ran != nil {
		w.ran(w, attempt)
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done(): // workers drop a request when its connection closes
		return
	}
	header.Set("Response-Seal", "seal-"+attempt)
	header.Set("Content-Type", "text/plain")
	body := "done " + attempt + "\n"
	if w.noLength {
		w.writeUntilClose(rw, header, body)
		return
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = rw.Write([]byte(body)) // the caller may have gone
}

// writeUntilClose writes an answer without a length and closes the connection.
func (w *worker) writeUntilClose(rw http.ResponseWriter, header http.Header, body string) {
	connection, buffer, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	_, _ = fmt.Fprint(buffer, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = header.Write(buffer)
	_, _ = fmt.Fprintf(buffer, "\r\n%s", body)
	_ = buffer.Flush()
}
