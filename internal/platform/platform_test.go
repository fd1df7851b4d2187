package platform

import (
	"errors"
	"net/http"
	"testing"
	"time"
)

func TestConditionalPut(t *testing.T) {
	_, c := newFakePlatform(t)
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

func TestStatusErrors(t *testing.T) {
	f, c := newFakePlatform(t)
	f.set(func(f *fakePlatform) { f.forcedStatus = http.StatusTooManyRequests })
	var limited *RateLimitedError
	if _, err := c.Get(t.Context(), "a"); !errors.As(err, &limited) || limited.RetryAfter != 3*time.Second {
		t.Errorf("got %v, want a rate limit of 3 s", err)
	}
	f.set(func(f *fakePlatform) { f.forcedStatus = http.StatusServiceUnavailable })
	if _, err := c.Put(t.Context(), "a", 0, 1); !errors.Is(err, ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
	f.set(func(f *fakePlatform) { f.forcedStatus = http.StatusBadGateway })
	if _, err := c.Put(t.Context(), "a", 0, 1); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrOutcomeUnknown", err)
	}
	unreachable := New("http://127.0.0.1:1")
	if _, err := unreachable.Put(t.Context(), "a", 0, 1); !errors.Is(err, ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// classifyMine classifies the value "mine" as applied and "other" as not
// applied; any other value leaves the outcome undetermined.
func classifyMine(o Object) Outcome {
	switch string(o.Value) {
	case `"mine"`:
		return Applied
	case `"other"`:
		return NotApplied
	default:
		return Undetermined
	}
}

func TestPutRecover(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(*fakePlatform)
		want   Outcome
	}{
		{"no fault", func(*fakePlatform) {}, Applied},
		{"response lost", func(f *fakePlatform) { f.dropResponses = 1 }, Applied},
		{"write lost", func(f *fakePlatform) { f.dropRequests = 1 }, Undetermined},
		{"outage", func(f *fakePlatform) { f.forcedStatus = http.StatusServiceUnavailable }, NotApplied},
		{"response lost, reads fail", func(f *fakePlatform) { f.dropResponses, f.failReads = 1, true }, Undetermined},
		{"written by another", func(f *fakePlatform) {
			f.version, f.objects["k"] = 9, Object{Key: "k", Version: 9, Value: []byte(`"other"`)}
		}, NotApplied},
		{"unrecognised value", func(f *fakePlatform) {
			f.version, f.objects["k"] = 9, Object{Key: "k", Version: 9, Value: []byte(`"?"`)}
		}, Undetermined},
		{"written by an earlier call", func(f *fakePlatform) {
			f.version, f.objects["k"] = 9, Object{Key: "k", Version: 9, Value: []byte(`"mine"`)}
		}, Applied},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, client := newFakePlatform(t)
			f.set(c.inject)
			got, version, err := client.PutRecover(t.Context(), "k", 0, "mine", classifyMine)
			if got != c.want || (err == nil) != (got == Applied) || (got == Applied && version == 0) {
				t.Fatalf("got %v, version %d, %v; want %v", got, version, err, c.want)
			}
		})
	}
}

func TestSilentWatchTimesOut(t *testing.T) {
	f, c := newFakePlatform(t)
	if _, err := c.Put(t.Context(), "manifest", 0, 1); err != nil {
		t.Fatal(err)
	}
	f.set(func(f *fakePlatform) { f.silentWatches = 1 })
	began := time.Now()
	_, err := c.Watch(t.Context(), "manifest", 0, testTimeout)
	if !errors.Is(err, ErrUnavailable) {
		t.Fatalf("got %v, want ErrUnavailable", err)
	}
	if took := time.Since(began); took > testTimeout+WatchMargin+time.Second {
		t.Fatalf("watch failed after %v", took)
	}
	changes, err := c.Watch(t.Context(), "manifest", 0, testTimeout)
	if err != nil || len(changes.Objects) != 1 {
		t.Fatalf("got %+v, %v", changes, err)
	}
}
