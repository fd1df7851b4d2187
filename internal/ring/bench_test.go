package ring

import (
	"runtime"
	"sync"
	"testing"
)

// The two benchmarks measure a round trip to another duty, with duties on
// goroutines and on locked operating-system threads. docs/DESIGN.md quotes
// their ratio.
func BenchmarkHopGoroutine(b *testing.B)    { benchmarkHop(b, func() {}) }
func BenchmarkHopLockedThread(b *testing.B) { benchmarkHop(b, runtime.LockOSThread) }

func benchmarkHop(b *testing.B, pinThread func()) {
	requests, replies := New[int]("there", 64), New[int]("back", 64)
	var duty sync.WaitGroup
	duty.Go(func() {
		pinThread()
		for {
			message, err := requests.Take(b.Context())
			if err != nil {
				return
			}
			if replies.Put(b.Context(), message) != nil {
				return
			}
		}
	})
	pinThread()
	b.ResetTimer()
	for i := range b.N {
		if err := requests.Put(b.Context(), i); err != nil {
			b.Fatal(err)
		}
		if _, err := replies.Take(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
}
