package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakePlatform is an in-memory platform with fault injection.
type fakePlatform struct {
	mu      sync.Mutex
	version uint64
	objects map[string]Object

	dropResponses int  // number of next writes that are applied but get no response
	dropRequests  int  // number of next writes that are lost; their connections are closed
	forcedStatus  int  // status of every response, zero for none
	silentWatches int  // number of next watches that get no response
	failReads     bool // reads get status 503
	repeatChanges int  // how often a watch repeats each object, zero for once
}

func newFakePlatform(t *testing.T) (*fakePlatform, *Client) {
	t.Helper()
	f := &fakePlatform{objects: map[string]Object{}}
	server := httptest.NewServer(f)
	client := New(server.URL)
	t.Cleanup(func() {
		client.transport.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return f, client
}

func (f *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if f.takeSilentWatch(r) {
		<-r.Context().Done()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	switch {
	case f.forcedStatus != 0:
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(f.forcedStatus)
	case r.URL.Path == "/v1/watch":
		f.watch(w, r)
	case r.Method == http.MethodPut:
		f.put(w, r, key, body)
	case f.failReads:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		f.get(w, key)
	}
}

func (f *fakePlatform) takeSilentWatch(r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path != "/v1/watch" || f.silentWatches == 0 {
		return false
	}
	f.silentWatches--
	return true
}

func (f *fakePlatform) get(w http.ResponseWriter, key string) {
	object, ok := f.objects[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(object)
}

func (f *fakePlatform) put(w http.ResponseWriter, r *http.Request, key string, body []byte) {
	if f.dropRequests > 0 {
		f.dropRequests--
		panic(http.ErrAbortHandler)
	}
	ifVersion, _ := strconv.ParseUint(r.URL.Query().Get("if_version"), 10, 64)
	if current := f.objects[key].Version; current != ifVersion {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(ConflictError{Version: current})
		return
	}
	f.version++
	f.objects[key] = Object{Key: key, Version: f.version, Value: body}
	if f.dropResponses > 0 {
		f.dropResponses--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(map[string]uint64{"version": f.version})
}

func (f *fakePlatform) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	changes := Changes{Revision: f.version}
	for _, object := range f.objects {
		if object.Version > after && strings.HasPrefix(object.Key, r.URL.Query().Get("prefix")) {
			changes.Objects = append(changes.Objects, object)
		}
	}
	changes.Objects = f.repeated(changes.Objects, after)
	_ = json.NewEncoder(w).Encode(changes)
}

func (f *fakePlatform) set(change func(*fakePlatform)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

const testTimeout = 300 * time.Millisecond
