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

// fake is a platform in memory with planted faults.
type fake struct {
	mu      sync.Mutex
	version uint64
	objects map[string]Object

	loseAnswers int  // the next writes take effect, their answers are lost
	dropWrites  int  // the next writes are lost, their connections cut
	status      int  // answers everything with this status
	hangWatches int  // the next watches go silent
	frozenReads bool // reads answer 503
}

func newFake(t *testing.T) (*fake, *Client) {
	t.Helper()
	f := &fake{objects: map[string]Object{}}
	server := httptest.NewServer(f)
	client := New(server.URL)
	t.Cleanup(func() {
		client.transport.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return f, client
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if f.takeHang(r) {
		<-r.Context().Done()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	switch {
	case f.status != 0:
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(f.status)
	case r.URL.Path == "/v1/watch":
		f.watch(w, r)
	case r.Method == http.MethodPut:
		f.put(w, r, key, body)
	case f.frozenReads:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		f.get(w, key)
	}
}

func (f *fake) takeHang(r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path != "/v1/watch" || f.hangWatches == 0 {
		return false
	}
	f.hangWatches--
	return true
}

func (f *fake) get(w http.ResponseWriter, key string) {
	object, ok := f.objects[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(object)
}

func (f *fake) put(w http.ResponseWriter, r *http.Request, key string, body []byte) {
	if f.dropWrites > 0 {
		f.dropWrites--
		panic(http.ErrAbortHandler)
	}
	want, _ := strconv.ParseUint(r.URL.Query().Get("if_version"), 10, 64)
	if found := f.objects[key].Version; found != want {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(ConflictError{Version: found})
		return
	}
	f.version++
	f.objects[key] = Object{Key: key, Version: f.version, Value: body}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(map[string]uint64{"version": f.version})
}

func (f *fake) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	changes := Changes{Revision: f.version}
	for _, object := range f.objects {
		if object.Version > after && strings.HasPrefix(object.Key, r.URL.Query().Get("prefix")) {
			changes.Objects = append(changes.Objects, object)
		}
	}
	_ = json.NewEncoder(w).Encode(changes)
}

func (f *fake) set(change func(*fake)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

const testTimeout = 300 * time.Millisecond
