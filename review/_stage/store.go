package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store, in the wire format of the platform's pages.
type object struct {
	Metadata struct {
		Name       string
		Revision   uint64
		Created    uint64
		Finalizers []string
		Deleting   bool
	}
	Spec   json.RawMessage
	Status json.RawMessage
}

type event struct {
	kind     string
	revision uint64
	Object   object
	Deleted  bool
}

// store is a stand-in of the platform's metadata store. It loses nothing and answers at
// once; history is never discarded.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	events   []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// set creates or replaces the spec or the status of an object. It is also how the
// operator and the workers write.
func (s *store) set(kind, name string, spec, status any) object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setLocked(kind, name, spec, status)
}

func (s *store) setLocked(kind, name string, spec, status any) object {
	s.revision++
	o, known := s.objects[kind][name]
	if !known {
		o.Metadata.Name, o.Metadata.Created = name, s.revision
	}
	o.Metadata.Revision = s.revision
	if spec != nil {
		o.Spec = mustJSON(spec)
	}
	if status != nil {
		o.Status = mustJSON(status)
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.record(event{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.record(event{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func mustJSON(value any) json.RawMessage {
	if raw, ok := value.(json.RawMessage); ok {
		return raw
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/kingcupcourse/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	parts := strings.Split(path, "/")
	kind, name, isStatus := parts[0], "", len(parts) == 3 && parts[2] == "status"
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			http.NotFound(w, r)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name, isStatus)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"Items": items, "HasMore": false, "AsOf": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []event
		for i := len(s.events) - 1; i >= 0 && s.events[i].revision > after; i-- {
			if s.events[i].kind == kind {
				found = append([]event{s.events[i]}, found...)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		done := len(found) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-deadline:
			case <-r.Context().Done():
				return
			}
		}
		if found == nil {
			found = []event{}
		}
		reply(w, http.StatusOK, map[string]any{"events": found, "AsOf": revision})
		return
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var sent object
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	known, found := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && found,
		r.Method == http.MethodPut && found && sent.Metadata.Revision != 0 && sent.Metadata.Revision != known.Metadata.Revision:
		reply(w, http.StatusConflict, known)
	case r.Method == http.MethodPut && !found:
		http.NotFound(w, r)
	case isStatus:
		reply(w, http.StatusOK, s.setLocked(kind, name, nil, sent.Status))
	default:
		reply(w, http.StatusOK, s.setLocked(kind, name, sent.Spec, nil))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
