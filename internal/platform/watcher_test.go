package platform

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"
)

// Guards against a host that runs out of memory when it returns after an outage of its
// link to the store: a watch that goes on where it ended then answers with all versions
// of a large object since. The Watcher lists the objects instead.
func TestWatcherListsWhenTheHistoryIsLarge(t *testing.T) {
	const wait = 20 * time.Second // for the transfer on a busy machine
	f, c := newFakePlatform(t)
	value := json.RawMessage(`"` + strings.Repeat("x", MaxValueBytes/2) + `"`)
	f.set(func(f *fakePlatform) {
		f.repeatChanges = maxWatchBytes/len(value) + 1
		f.version = 5
		f.objects["a/b"] = Object{Key: "a/b", Version: 5, Value: value}
	})
	if _, err := c.Watch(t.Context(), "a/", 3, wait); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v, want ErrTooLarge", err)
	}
	stop := errors.New("stop")
	var got Update
	w := NewWatcher(c, "a/", wait, func(_ context.Context, update Update) error { got = update; return stop })
	w.WithCursor(func(context.Context) (Cursor, error) { return Cursor{Listed: true, Revision: 3}, nil })
	if err := w.Serve(t.Context()); !errors.Is(err, stop) {
		t.Fatal(err)
	}
	if !got.Full || got.Err != nil || len(got.Objects) != 1 || got.Revision != 5 {
		t.Errorf("full %v, %d objects, revision %d, error %v, want a list of the one object", got.Full, len(got.Objects), got.Revision, got.Err)
	}
}

func (f *fakePlatform) repeated(objects []Object, after uint64) []Object {
	if after == 0 || f.repeatChanges == 0 {
		return objects
	}
	repeated := make([]Object, 0, f.repeatChanges)
	for range f.repeatChanges {
		repeated = append(repeated, objects...)
	}
	return repeated
}
