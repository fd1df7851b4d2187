package crowd

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// store is the platform's store, with as much of it as hosts need that read and write
// objects and watch them.
type store struct {
	url string

	mu       sync.Mutex
	revision int
	objects  map[string]storedObject // by kind/name
	events   []storeEvent
	// changed is closed at the next change.
	changed chan struct{}
}

type storedObject struct {
	Metadata struct {
		Name              string
		Revision, Created int
	}
	Spec json.RawMessage
}

// storeEvent is a change as a watch tells of it.
type storeEvent struct {
	key     string
	Object  storedObject
	Deleted bool
}

// startStore serves a store that holds the objects, given as specs by kind/name.
func startStore(t testing.TB, specs map[string]string) *store {
	t.Helper()
	s := &store{objects: map[string]storedObject{}, changed: make(chan struct{})}
	for key, spec := range specs {
		s.put(key, spec)
	}
	server := httptest.NewServer(s)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	s.url = server.URL
	return s
}

// put writes an object.
func (s *store) put(key, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, json.RawMessage(spec))
}

// remove removes an object.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object := s.objects[key]
	delete(s.objects, key)
	s.record(key, object, true)
}

func (s *store) write(key string, spec json.RawMessage) storedObject {
	object, exists := s.objects[key]
	_, object.Metadata.Name, _ = strings.Cut(key, "/")
	if object.Spec = spec; !exists {
		object.Metadata.Created = s.revision + 1
	}
	s.objects[key] = s.record(key, object, false)
	return s.objects[key]
}

// record gives the object the next revision and tells the watches.
func (s *store) record(key string, object storedObject, deleted bool) storedObject {
	s.revision++
	object.Metadata.Revision = s.revision
	s.events = append(s.events, storeEvent{key: key, Object: object, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return object
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/kingcupcourse/objects/"), "/")
	if query := r.URL.Query(); query.Has("Watch") {
		s.watch(w, r, kind, query)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method != http.MethodGet:
		var sent storedObject
		if json.NewDecoder(r.Body).Decode(&sent) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		key := kind + "/" + sent.Metadata.Name
		if known := s.objects[key]; known.Metadata.Revision != sent.Metadata.Revision {
			w.WriteHeader(http.StatusConflict)
			answer(w, known)
			return
		}
		answer(w, s.write(key, sent.Spec))
	case name == "":
		items := []any{}
		for key, object := range s.objects {
			if strings.HasPrefix(key, kind+"/") {
				items = append(items, object)
			}
		}
		answer(w, map[string]any{"Items": items, "HasMore": false, "AsOf": s.revision})
	case s.objects[kind+"/"+name].Spec == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		answer(w, s.objects[kind+"/"+name])
	}
}

// watch answers as soon as there is a change of the kind after the revision, or after the
// wait that the caller asks for.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, query url.Values) {
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	after, _ := strconv.Atoi(query.Get("Watch"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, revision, changed := s.since(kind, after)
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "AsOf": revision})
			return
		}
		select {
		case <-changed:
		case <-expired:
			answer(w, map[string]any{"events": []storeEvent{}, "AsOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of the kind after the revision, the present revision, and a
// channel that is closed at the next change.
func (s *store) since(kind string, after int) (events []storeEvent, revision int, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, event := range s.events {
		if strings.HasPrefix(event.key, kind+"/") && event.Object.Metadata.Revision > after {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}

// largeAnswerBytes is the size of the answers to /large/.
const largeAnswerBytes = 4 << 20

// startEndpoint serves an endpoint of the platform: small answers, and large ones to
// paths below /large/.
func startEndpoint(t testing.TB) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Seal", "sealed")
		body := "read " + strconv.FormatInt(received, 10)
		if strings.HasPrefix(r.URL.Path, "/large/") {
			body = strings.Repeat("x", largeAnswerBytes)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}
