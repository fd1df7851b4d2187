package supervisor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a duty that records its starts and stops as events.
type recorder struct {
	name   string
	events *ring.Ring[string]
	crash  bool
}

func (d *recorder) Serve(ctx context.Context) error {
	_ = d.events.TryPut("start " + d.name)
	if d.crash {
		panic("planted")
	}
	<-ctx.Done()
	_ = d.events.TryPut("stop " + d.name)
	return ctx.Err()
}

func serve(t *testing.T, s *Supervisor) (stop func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := ring.NewReply[error]()
	go func() { ended.Send(s.Serve(ctx)) }()
	return func() error {
		cancel()
		err, _ := ended.Wait(context.Background())
		return err
	}
}

func await(t *testing.T, events *ring.Ring[string], want string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for {
		got, err := events.Take(ctx)
		if err != nil {
			t.Fatalf("waiting for %q: %v", want, err)
		}
		if got == want {
			return
		}
	}
}

func TestStopsChildrenInReverseOrder(t *testing.T) {
	events := ring.New[string]("events", 16)
	s := New(Spec{Name: "root", Children: []Child{
		{Name: "a", Duty: &recorder{name: "a", events: events}},
		{Name: "b", Duty: &recorder{name: "b", events: events}},
	}}, zap.NewNop())
	stop := serve(t, s)
	for range 2 {
		if _, err := events.Take(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if err := stop(); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want context.Canceled", err)
	}
	var stops []string
	for e, ok := events.TryTake(); ok; e, ok = events.TryTake() {
		stops = append(stops, e)
	}
	if !slices.Equal(stops, []string{"stop b", "stop a"}) {
		t.Fatalf("events after the stop: %v, want b stopped before a", stops)
	}
}

// coupled is a duty that returns only after its partner's context ended.
type coupled struct{ events, own, partner *ring.Ring[string] }

func (d *coupled) Serve(ctx context.Context) error {
	_ = d.events.TryPut("start")
	<-ctx.Done()
	_ = d.own.TryPut("told")
	_, err := d.partner.Take(context.WithoutCancel(ctx))
	return err
}

func TestStopTogetherStopsConcurrently(t *testing.T) {
	events := ring.New[string]("events", 2)
	a, b := ring.New[string]("a", 1), ring.New[string]("b", 1)
	s := New(Spec{Name: "root", StopTogether: true, Children: []Child{
		{Name: "a", Duty: &coupled{events: events, own: a, partner: b}},
		{Name: "b", Duty: &coupled{events: events, own: b, partner: a}},
	}}, zap.NewNop())
	stop := serve(t, s)
	await(t, events, "start")
	await(t, events, "start")
	stopping := time.Now()
	_ = stop()
	if took := time.Since(stopping); took > DefaultStopTimeout/2 {
		t.Fatalf("stopping the children took %v", took)
	}
}

func TestKillRestartsNestedChild(t *testing.T) {
	events := ring.New[string]("events", 16)
	inner := New(Spec{Name: "inner", Children: []Child{
		{Name: "a", Duty: &recorder{name: "a", events: events}}}}, zap.NewNop())
	root := New(Spec{Name: "root", Children: []Child{{Name: "inner", Duty: inner}}}, zap.NewNop())
	stop := serve(t, root)
	await(t, events, "start a")
	if err := root.Kill("inner/a"); err != nil {
		t.Fatal(err)
	}
	await(t, events, "start a")
	if err := root.Kill("inner/none"); !errors.Is(err, ErrUnknownChild) {
		t.Fatalf("got %v, want ErrUnknownChild", err)
	}
	_ = stop()
}

func TestRestartStormEscalatesToRoot(t *testing.T) {
	events := ring.New[string]("events", 4096)
	inner := New(Spec{Name: "inner", Children: []Child{
		{Name: "a", Duty: &recorder{name: "a", events: events, crash: true}}}}, zap.NewNop())
	root := New(Spec{Name: "root", Children: []Child{{Name: "inner", Duty: inner}}}, zap.NewNop())
	if err := root.Serve(t.Context()); !errors.Is(err, ErrRestartStorm) {
		t.Fatalf("got %v, want ErrRestartStorm", err)
	}
}

func TestAddAndRemoveWhileServing(t *testing.T) {
	events := ring.New[string]("events", 16)
	s := New(Spec{Name: "root"}, zap.NewNop())
	stop := serve(t, s)
	s.Add(Child{Name: "late", Duty: &recorder{name: "late", events: events}})
	await(t, events, "start late")
	if err := s.Remove("late"); err != nil {
		t.Fatal(err)
	}
	await(t, events, "stop late")
	_ = stop()
}

// finishing is a duty that returns ErrDone when it gets a message.
type finishing struct{ finish *ring.Ring[string] }

func (d *finishing) Serve(ctx context.Context) error {
	if _, err := d.finish.Take(ctx); err != nil {
		return err
	}
	return ErrDone
}

func TestRemovesFinishedChild(t *testing.T) {
	s := New(Spec{Name: "root"}, zap.NewNop())
	stop := serve(t, s)
	finish := ring.New[string]("let_go", 1)
	s.Add(Child{Name: "once", Duty: &finishing{finish: finish}})
	_ = finish.TryPut("go")
	for deadline := time.Now().Add(5 * time.Second); len(s.Paths()) > 0; {
		if time.Now().After(deadline) {
			t.Fatalf("children not removed: %v", s.Paths())
		}
		time.Sleep(time.Millisecond)
	}
	_ = stop()
}

func TestCloseOnStopClosesOpenConnections(t *testing.T) {
	arrived := ring.New[string]("arrived", 1)
	h, err := Listen("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_ = arrived.TryPut(r.URL.Path)
		<-r.Context().Done()
	}), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	stop := serve(t, New(Spec{Name: "root", Children: []Child{{Name: "http", Duty: h}}}, zap.NewNop()))
	ended := ring.NewReply[error]()
	go func() {
		response, err := http.Get("http://" + h.Address() + "/hang")
		if err == nil {
			_ = response.Body.Close()
		}
		ended.Send(err)
	}()
	await(t, arrived, "/hang")
	h.CloseOnStop()
	_ = stop()
	if err, _ := ended.Wait(t.Context()); err == nil {
		t.Fatal("the request in progress got a response")
	}
}

// Guards against a request being dropped that arrives on an accepted connection while
// the server stops: http.Server.Shutdown closes the connection without an answer.
func TestRequestOnAcceptedConnectionIsAnsweredDuringStop(t *testing.T) {
	h, err := Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	accepted := ring.New[string]("accepted", 1)
	h.WrapConnections(func(c net.Conn) net.Conn {
		_ = accepted.TryPut("connection")
		return c
	})
	stop := serve(t, New(Spec{Name: "root", Children: []Child{{Name: "http", Duty: h}}}, zap.NewNop()))
	connection, err := net.Dial("tcp", h.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	await(t, accepted, "connection")
	stopped := ring.NewReply[error]()
	go func() { stopped.Send(stop()) }()
	for { // until the listener is closed
		probe, err := net.Dial("tcp", h.Address())
		if err != nil {
			break
		}
		_ = probe.Close()
	}
	if _, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(connection)
	if !strings.HasPrefix(string(answer), "HTTP/1.1 204 ") {
		t.Errorf("answer %q, %v", answer, err)
	}
	_, _ = stopped.Wait(t.Context())
}
