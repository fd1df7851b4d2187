package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's object store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	era      int
	objects  map[string]*object // by kind/name
	events   []event
	floor    uint64 // history up to here is gone
	changed  chan struct{}
	delay    time.Duration
	listener net.Listener
	// mode: "" works, "busy" answers 503, "silent" does not answer.
	mode string
}

type metadata struct {
	Name       string
	Revision   uint64
	Created    uint64
	Finalizers []string
	Deleting   bool
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

type event struct {
	kind     string
	revision uint64
	Object   object
	Deleted  bool
}

func newStore() *store {
	return &store{revision: 1, era: 1, objects: map[string]*object{}, changed: make(chan struct{}), delay: 2 * time.Millisecond}
}

func (s *store) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.listener = l
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String()
}

func (s *store) setMode(mode string) { s.mu.Lock(); s.mode = mode; s.mu.Unlock() }

// put writes as the operator and the workers do.
func (s *store) put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, raw, nil, true)
}

func (s *store) write(kind, name string, spec, status json.RawMessage, setSpec bool) uint64 {
	key := kind + "/" + name
	o := s.objects[key]
	s.revision++
	n := object{}
	if o != nil {
		n = *o
	} else {
		n.Metadata = metadata{Name: name, Created: s.revision}
	}
	n.Metadata.Revision = s.revision
	if setSpec {
		n.Spec = spec
	} else {
		n.Status = status
	}
	s.objects[key] = &n
	s.note(event{kind, s.revision, n, false})
	return s.revision
}

func (s *store) note(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	if o := s.objects[key]; o != nil {
		s.revision++
		gone := *o
		gone.Metadata.Revision = s.revision
		delete(s.objects, key)
		s.note(event{kind, s.revision, gone, true})
	}
}

func (s *store) get(kind, name string) *object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind+"/"+name]
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(s.delay)
	s.mu.Lock()
	mode := s.mode
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	switch mode {
	case "busy":
		w.WriteHeader(503)
		return
	case "silent":
		<-r.Context().Done()
		return
	}
	path := strings.Split(strings.TrimPrefix(r.URL.EscapedPath(), "/kingcupcourse/objects/"), "/")
	for i := range path {
		path[i], _ = url.PathUnescape(path[i])
	}
	kind, q := path[0], r.URL.Query()
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(400)
		return
	}
	switch {
	case r.Method == "GET" && q.Get("Watch") != "":
		s.watch(w, r, kind, q)
	case r.Method == "GET" && len(path) == 1:
		s.list(w, kind, q.Get("After"))
	case r.Method == "GET":
		if o := s.get(kind, path[1]); o != nil {
			answer(w, 200, o)
		} else {
			w.WriteHeader(404)
		}
	default:
		s.change(w, r.Method, kind, path[1:], sent)
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) change(w http.ResponseWriter, method, kind string, rest []string, sent object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := sent.Metadata.Name
	if len(rest) > 0 {
		name = rest[0]
	}
	key := kind + "/" + name
	o := s.objects[key]
	switch {
	case method == "POST" && o != nil:
		answer(w, 409, o)
	case method == "POST":
		s.write(kind, name, sent.Spec, nil, true)
		answer(w, 201, s.objects[key])
	case o == nil:
		w.WriteHeader(404)
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != o.Metadata.Revision:
		answer(w, 409, o)
	case method == "PUT":
		status := len(rest) > 1 && rest[1] == "status"
		same := status && string(o.Status) == string(sent.Status) || !status && string(o.Spec) == string(sent.Spec)
		if !same {
			s.write(kind, name, sent.Spec, sent.Status, !status)
		}
		answer(w, 200, s.objects[key])
	default:
		w.WriteHeader(405)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for key := range s.objects {
		if k, name, _ := strings.Cut(key, "/"); k == kind && name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	if more {
		names = names[:500]
	}
	items := []*object{}
	for _, name := range names {
		items = append(items, s.objects[kind+"/"+name])
	}
	answer(w, 200, map[string]any{"Items": items, "HasMore": more, "AsOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, q url.Values) {
	after, _ := strconv.ParseUint(q.Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if after > s.revision || after < s.floor || s.era != era {
			w.Header().Set("Store-Era", strconv.Itoa(s.era))
			s.mu.Unlock()
			w.WriteHeader(410)
			return
		}
		found := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				found = append(found, map[string]any{"Object": e.Object, "Deleted": e.Deleted})
			}
		}
		changed, now := s.changed, s.revision
		s.mu.Unlock()
		if len(found) > 0 {
			answer(w, 200, map[string]any{"events": found, "AsOf": now})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, 200, map[string]any{"events": found, "AsOf": now})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// copyState returns a copy of the store's state.
func (s *store) copyState() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &store{revision: s.revision, objects: map[string]*object{}, events: append([]event(nil), s.events...)}
	for key, o := range s.objects {
		c.objects[key] = o
	}
	return c
}

// restore makes the store come back from a copy.
func (s *store) restore(from *store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.objects, s.events = from.revision, from.objects, from.events
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}
