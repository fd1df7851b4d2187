package ring

import (
	"runtime"
	"sync"
	"testing"
)

// The two benchmarks give the cost of one hop to another duty and back, with
// duties on goroutines and on locked operating-system threads. docs/DESIGN.md
// quotes their ratio.
func BenchmarkHopGoroutine(b *testing.B)    { benchmarkHop(b, func() {}) }
func BenchmarkHopLockedThread(b *testing.B) { benchmarkHop(b, runtime.LockOSThread) }

func benchmarkHop(b *testing.B, pin func()) {
	there, back := New[int]("there", 64), New[int]("back", 64)
	var duty sync.WaitGroup
	duty.Go(func() {
		pin()
		for {
			message, err := there.Take(b.Context())
			if err != nil {
				return
			}
			if back.Put(b.Context(), message) != nil {
				return
			}
		}
	})
	pin()
	b.ResetTimer()
	for i := range b.N {
		if err := there.Put(b.Context(), i); err != nil {
			b.Fatal(err)
		}
		if _, err := back.Take(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
}
