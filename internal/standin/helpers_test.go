package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// callTimeout limits each call, and each wait for a condition.
const callTimeout = 5 * time.Second

// silenceTimeout is how long a test waits for a response that must not come.
const silenceTimeout = 150 * time.Millisecond

// testFleet is a running process with an HTTP client of its own.
type testFleet struct {
	t       *testing.T
	process *Process
	client  *http.Client
}

func startFleet(t *testing.T, fleet Fleet) *testFleet {
	t.Helper()
	fleet.AdminAddress = "127.0.0.1:0"
	process, err := New(fleet, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := ring.NewReply[error]()
	go func() { ended.Send(process.Supervisor().Serve(ctx)) }()
	client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		stop()
		_, _ = ended.Wait(context.Background())
	})
	return &testFleet{t: t, process: process, client: client}
}

// httpResult is a complete response.
type httpResult struct {
	status int
	header http.Header
	body   string
}

// try makes a call. Headers have the form "Name: value".
func (f *testFleet) try(method, name, path, body string, headers ...string) (httpResult, error) {
	return f.tryAt(method, f.process.Address(name), path, body, headers...)
}

func (f *testFleet) tryAt(method, address, path, body string, headers ...string) (httpResult, error) {
	request, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return httpResult{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return httpResult{status: response.StatusCode, header: response.Header, body: string(content)}, err
}

// call makes a call that must return the given status.
func (f *testFleet) call(want int, method, name, path, body string, headers ...string) httpResult {
	f.t.Helper()
	got, err := f.try(method, name, path, body, headers...)
	if err != nil {
		f.t.Fatalf("%s %s: %v", method, path, err)
	}
	if got.status != want {
		f.t.Fatalf("%s %s: got %d %s, want %d", method, path, got.status, got.body, want)
	}
	return got
}

// expectNoResponse makes a call that must get no response within silenceTimeout.
func (f *testFleet) expectNoResponse(method, name, path, body string) {
	f.t.Helper()
	client := *f.client
	client.Timeout = silenceTimeout
	withShortTimeout := &testFleet{t: f.t, process: f.process, client: &client}
	if got, err := withShortTimeout.try(method, name, path, body); err == nil {
		f.t.Fatalf("%s %s was answered %d", method, path, got.status)
	}
}

func (f *testFleet) setFault(name, patch string) {
	f.t.Helper()
	got, err := f.tryAt(http.MethodPost, f.process.AdminAddress(), "/"+name+"/admin/fault", patch)
	if err != nil || got.status != http.StatusNoContent {
		f.t.Fatalf("fault %s: %d %s %v", patch, got.status, got.body, err)
	}
}

func stats[T any](f *testFleet, name string) T {
	f.t.Helper()
	got, err := f.tryAt(http.MethodGet, f.process.AdminAddress(), "/"+name+"/admin/stats", "")
	if err != nil {
		f.t.Fatal(err)
	}
	return decode[T](f.t, got)
}

func decode[T any](t *testing.T, result httpResult) T {
	t.Helper()
	var value T
	if err := json.NewDecoder(bytes.NewBufferString(result.body)).Decode(&value); err != nil {
		t.Fatalf("%v: %s", err, result.body)
	}
	return value
}

// eventually waits until the condition holds.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(callTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", description)
		}
	}
}

// background makes a call in a goroutine and returns a reply for its result.
func (f *testFleet) background(method, name, path, body string, headers ...string) ring.Reply[httpResult] {
	reply := ring.NewReply[httpResult]()
	go func() {
		got, err := f.try(method, name, path, body, headers...)
		if err != nil {
			reply.Abandon(err)
			return
		}
		reply.Send(got)
	}()
	return reply
}
