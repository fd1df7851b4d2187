package budget

import "runtime/debug"

// heapShare is the share of the machine's memory from which on garbage is collected more
// often. The rest is for the program itself and for what is not yet collected.
const heapShare = 0.75

// LimitHeap makes the runtime collect garbage before the process fills the memory of its
// machine, in bytes. Zero leaves the runtime as it is.
func LimitHeap(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(memory)))
	}
}
