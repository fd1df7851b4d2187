package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath  = "/kingcupcourse/objects/"
	storeLatency = 4 * time.Millisecond
	historyKept  = 20 * time.Second
	pageItems    = 500
	pageBytes    = 1 << 20
)

// metadata is that of an object of the platform's store.
type metadata struct {
	Name       string   `json:"Name"`
	Revision   uint64   `json:"Revision"`
	Created    uint64   `json:"Created"`
	Finalizers []string `json:"Finalizers"`
	Deleting   bool     `json:"Deleting"`
}

type object struct {
	Metadata metadata        `json:"Metadata"`
	Spec     json.RawMessage `json:"Spec"`
	Status   json.RawMessage `json:"Status"`
}

type event struct {
	Object  object `json:"Object"`
	Deleted bool   `json:"Deleted"`

	kind string
	at   time.Time
}

// store is a stand-in for the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  []event
	// oldest is the revision from which the history is complete.
	oldest  uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{revision: 10, oldest: 10, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// entrance is the address of the store for one machine.
type entrance struct {
	store   *store
	address string

	mu sync.Mutex
	// open is closed while the store turns the machine away.
	open   chan struct{}
	turned bool
}

func (s *store) newEntrance() (*entrance, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &entrance{store: s, address: listener.Addr().String(), open: make(chan struct{})}
	go func() { _ = http.Serve(listener, e) }()
	return e, nil
}

// turnAway makes the store answer all calls of the machine with 503, those that wait too.
func (e *entrance) turnAway() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.turned = true
	close(e.open)
}

// admit ends the time of turnAway.
func (e *entrance) admit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.turned, e.open = false, make(chan struct{})
}

// ServeHTTP implements the calls of the machine.
func (e *entrance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	turned, open := e.turned, e.open
	e.mu.Unlock()
	if turned {
		answer(w, http.StatusServiceUnavailable, nil)
		return
	}
	e.store.serve(w, r, open)
}

// operatorPut replaces an object without a condition and returns its revision. The
// return is the acknowledgement.
func (s *store) operatorPut(kind, name string, spec any) uint64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o.Metadata.Name == "" {
		o.Metadata = metadata{Name: name, Created: s.revision + 1}
	}
	if string(o.Spec) == string(text) {
		return o.Metadata.Revision
	}
	o.Spec = text
	return s.write(kind, o).Metadata.Revision
}

func (s *store) operatorDelete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.remove(kind, o)
	}
}

func (s *store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *store) write(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(event{Object: o, kind: kind})
	return o
}

func (s *store) remove(kind string, o object) {
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], o.Metadata.Name)
	s.record(event{Object: o, Deleted: true, kind: kind})
}

func (s *store) record(e event) {
	e.at = time.Now()
	s.history = append(s.history, e)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyKept {
		s.oldest = s.history[0].Object.Metadata.Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve answers a call of the system. A watch ends with 503 when cut is closed.
func (s *store) serve(w http.ResponseWriter, r *http.Request, cut chan struct{}) {
	time.Sleep(storeLatency)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	isStatus := len(parts) > 2 && parts[2] == "status"
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("Watch"):
		s.serveWatch(w, r, kind, cut)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, kind, query.Get("After"))
	case r.Method == http.MethodGet:
		if o, ok := s.get(kind, name); ok {
			answer(w, http.StatusOK, o)
		} else {
			answer(w, http.StatusNotFound, nil)
		}
	default:
		s.serveWrite(w, r, kind, name, isStatus)
	}
}

func (s *store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	list := struct {
		Items   []object
		HasMore bool
		AsOf    uint64
	}{Items: []object{}, AsOf: s.revision}
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	size := 0
	for i, name := range names {
		o := s.objects[kind][name]
		size += len(o.Spec) + len(o.Status)
		if i == pageItems || (i > 0 && size > pageBytes) {
			list.HasMore = true
			break
		}
		list.Items = append(list.Items, o)
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, list)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string, cut chan struct{}) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.oldest {
			s.mu.Unlock()
			answer(w, http.StatusGone, nil)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		result, changed := map[string]any{"events": events, "AsOf": s.revision}, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, result)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-cut:
			answer(w, http.StatusServiceUnavailable, nil)
			return
		case <-timeout:
			answer(w, http.StatusOK, result)
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var sent object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
	}
	condition := sent.Metadata.Revision
	if text := r.URL.Query().Get("Revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	status, o := s.apply(r.Method, kind, name, isStatus, condition, sent)
	s.mu.Unlock()
	answer(w, status, o)
}

func (s *store) apply(method, kind, name string, isStatus bool, condition uint64, sent object) (int, any) {
	if method == http.MethodPost {
		name = sent.Metadata.Name
	}
	o, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, o
	case method == http.MethodPost:
		return http.StatusCreated, s.write(kind, object{Metadata: metadata{Name: name, Created: s.revision + 1,
			Finalizers: sent.Metadata.Finalizers}, Spec: sent.Spec})
	case !exists:
		return http.StatusNotFound, nil
	case condition != 0 && condition != o.Metadata.Revision:
		return http.StatusConflict, o
	case method == http.MethodDelete:
		s.remove(kind, o)
		return http.StatusOK, o
	case isStatus:
		if string(o.Status) == string(sent.Status) {
			return http.StatusOK, o
		}
		o.Status = sent.Status
	default:
		if string(o.Spec) == string(sent.Spec) {
			return http.StatusOK, o
		}
		o.Spec, o.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
	}
	return http.StatusOK, s.write(kind, o)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}
