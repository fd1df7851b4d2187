package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	routeHost = "a.example"
	service   = "svc"
	zone      = "z-a"
)

// world is a deployment: the store, the workers of one service and the hosts.
type world struct {
	folder  string
	store   *store
	server  *http.Server
	address string // of the store
	hosts   []*host

	mu      sync.Mutex
	workers []*worker
	version int
	routes  []any
}

// newWorld starts the store and prepares the hosts.
func newWorld(hosts, memoryMB int) (*world, error) {
	folder, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, store: newStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w.store}
	go func() { _ = w.server.Serve(listener) }()
	go w.endOnSignal()
	for n := range hosts {
		w.hosts = append(w.hosts, newHost(folder, fmt.Sprint("front-", n+1), zone, w.address, memoryMB))
	}
	return w, nil
}

// endOnSignal ends all processes of the case if the case itself is told to end.
func (w *world) endOnSignal() {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	<-received
	w.close()
	os.Exit(failedToRun)
}

// configure writes the next version of the configuration with the routes.
func (w *world) configure(routes ...any) {
	w.version++
	w.store.set("config", "main", map[string]any{"Version": w.version, "Routes": routes,
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConns": 360}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}, nil)
}

// addWorker starts a worker on a loopback address of its own and writes its entry.
func (w *world) addWorker(id string, added *worker) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	added.id, added.service, added.zone = id, service, zone
	if err := added.start("127.0.0." + strconv.Itoa(2+len(w.workers)%200)); err != nil {
		return err
	}
	w.workers = append(w.workers, added)
	w.store.set("servers", id, added.entry("ready", 1), nil)
	return nil
}

// runs returns how many requests have run.
func (w *world) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for _, worker := range w.workers {
		total += int(worker.total.Load())
	}
	return total
}

func (w *world) startHosts() {
	for _, h := range w.hosts {
		go h.run()
	}
}

// awaitReady waits until all hosts say that they are ready.
func (w *world) awaitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range w.hosts {
			if response, err := http.Get("http://" + h.readiness + "/kingcupcourse/readyz"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.hosts) {
			return true
		}
	}
	return false
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, h := range w.hosts {
		h.stop()
	}
	w.mu.Lock()
	for _, worker := range w.workers {
		_ = worker.server.Close()
	}
	w.mu.Unlock()
	_ = w.server.Close()
	_ = os.RemoveAll(w.folder)
}

// client sends requests on a kept connection, one at a time.
type client struct{ http *http.Client }

func newClient() *client { return &client{&http.Client{Transport: &http.Transport{}}} }

// get sends a request and returns the status of a complete answer and its body.
func (c *client) get(ctx context.Context, h *host, path, id string, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.front+path, nil)
	if err != nil {
		return 0, ""
	}
	request.Host = routeHost
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := c.http.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}
