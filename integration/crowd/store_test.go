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

// store is the platform's store, with as much of it as a single host needs.
type store struct {
	mu       sync.Mutex
	revision int
	objects  map[string]map[string]any // by kind/name
}

// startStore serves a store that holds the objects, given as specs by kind/name.
func startStore(t testing.TB, specs map[string]string) string {
	t.Helper()
	s := &store{objects: map[string]map[string]any{}}
	for key, spec := range specs {
		s.write(key, json.RawMessage(spec))
	}
	server := httptest.NewServer(s)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.URL
}

func (s *store) write(key string, spec json.RawMessage) map[string]any {
	s.revision++
	_, name, _ := strings.Cut(key, "/")
	s.objects[key] = map[string]any{"Spec": spec, "Metadata": map[string]any{"Name": name, "Revision": s.revision, "Created": s.revision}}
	return s.objects[key]
}

// ServeHTTP implements http.Handler. A watch waits as long as it may and then tells of no
// change.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/kingcupcourse/objects/"), "/")
	if query := r.URL.Query(); query.Has("Watch") {
		s.watch(w, r, query)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method != http.MethodGet:
		var sent struct {
			Metadata struct{ Name string }
			Spec     json.RawMessage
		}
		if json.NewDecoder(r.Body).Decode(&sent) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		answer(w, s.write(kind+"/"+sent.Metadata.Name, sent.Spec))
	case name == "":
		items := []any{}
		for key, object := range s.objects {
			if strings.HasPrefix(key, kind+"/") {
				items = append(items, object)
			}
		}
		answer(w, map[string]any{"Items": items, "HasMore": false, "AsOf": s.revision})
	case s.objects[kind+"/"+name] == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		answer(w, s.objects[kind+"/"+name])
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, query url.Values) {
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	revision, _ := strconv.Atoi(query.Get("Watch"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	answer(w, map[string]any{"events": []int{}, "AsOf": revision})
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
