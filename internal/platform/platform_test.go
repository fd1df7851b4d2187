package platform

import (
	"errors"
	"net/http"
	"testing"
	"time"
)

func TestConditionalPut(t *testing.T) {
	_, c := newFake(t)
	if _, err := c.Get(t.Context(), "a/b"); !errors.Is(err, ErrNotFound) {
		t.Fatalf("got %v, want ErrNotFound", err)
	}
	version, err := c.Put(t.Context(), "a/b", 0, "x")
	if err != nil {
		t.Fatal(err)
	}
	var conflict *ConflictError
	if _, err := c.Put(t.Context(), "a/b", 0, "y"); !errors.As(err, &conflict) || conflict.Version != version {
		t.Fatalf("got %v, want a conflict at %d", err, version)
	}
	if object, err := c.Get(t.Context(), "a/b"); err != nil || string(object.Value) != `"x"` {
		t.Fatalf("got %+v, %v", object, err)
	}
}

func TestStatusesAreTyped(t *testing.T) {
	f, c := newFake(t)
	f.set(func(f *fake) { f.status = http.StatusTooManyRequests })
	var limited *RateLimitedError
	if _, err := c.Get(t.Context(), "a"); !errors.As(err, &limited) || limited.After != 3*time.Second {
		t.Errorf("got %v, want a rate limit of 3 s", err)
	}
	f.set(func(f *fake) { f.status = http.StatusServiceUnavailable })
	if _, err := c.Put(t.Context(), "a", 0, 1); !errors.Is(err, ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
	f.set(func(f *fake) { f.status = http.StatusBadGateway })
	if _, err := c.Put(t.Context(), "a", 0, 1); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrOutcomeUnknown", err)
	}
	nobody := New("http://127.0.0.1:1")
	if _, err := nobody.Put(t.Context(), "a", 0, 1); !errors.Is(err, ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// mine recognises the value "mine"; a value that is not its own tells nothing
// unless it is "other".
func mine(o Object) Outcome {
	switch string(o.Value) {
	case `"mine"`:
		return Applied
	case `"other"`:
		return NotApplied
	default:
		return StillUnknown
	}
}

func TestPutRecover(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant func(*fake)
		want  Outcome
	}{
		{"no fault", func(*fake) {}, Applied},
		{"answer lost", func(f *fake) { f.loseAnswers = 1 }, Applied},
		{"write lost", func(f *fake) { f.dropWrites = 1 }, StillUnknown},
		{"outage", func(f *fake) { f.status = http.StatusServiceUnavailable }, NotApplied},
		{"answer lost, reads down", func(f *fake) { f.loseAnswers, f.frozenReads = 1, true }, StillUnknown},
		{"written by another", func(f *fake) {
			f.version, f.objects["k"] = 9, Object{Key: "k", Version: 9, Value: []byte(`"other"`)}
		}, NotApplied},
		{"written by a stranger", func(f *fake) {
			f.version, f.objects["k"] = 9, Object{Key: "k", Version: 9, Value: []byte(`"?"`)}
		}, StillUnknown},
		{"written by an earlier call", func(f *fake) {
			f.version, f.objects["k"] = 9, Object{Key: "k", Version: 9, Value: []byte(`"mine"`)}
		}, Applied},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, client := newFake(t)
			f.set(c.plant)
			got, version, err := client.PutRecover(t.Context(), "k", 0, "mine", mine)
			if got != c.want || (err == nil) != (got == Applied) || (got == Applied && version == 0) {
				t.Fatalf("got %v, version %d, %v; want %v", got, version, err, c.want)
			}
		})
	}
}

func TestSilentWatchIsFoundAndTheNextOneWorks(t *testing.T) {
	f, c := newFake(t)
	if _, err := c.Put(t.Context(), "manifest", 0, 1); err != nil {
		t.Fatal(err)
	}
	f.set(func(f *fake) { f.hangWatches = 1 })
	began := time.Now()
	_, err := c.Watch(t.Context(), "manifest", 0, testTimeout)
	if !errors.Is(err, ErrUnavailable) {
		t.Fatalf("got %v, want ErrUnavailable", err)
	}
	if took := time.Since(began); took > testTimeout+WatchMargin+time.Second {
		t.Fatalf("found after %v", took)
	}
	changes, err := c.Watch(t.Context(), "manifest", 0, testTimeout)
	if err != nil || len(changes.Objects) != 1 {
		t.Fatalf("got %+v, %v", changes, err)
	}
}
