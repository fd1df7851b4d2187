// Package ring replaces the real package, which may use channels.
package ring

import "sync"

type Ring struct {
	mu    sync.Mutex
	slots chan int
}

func New() *Ring { return &Ring{slots: make(chan int, 1)} }
