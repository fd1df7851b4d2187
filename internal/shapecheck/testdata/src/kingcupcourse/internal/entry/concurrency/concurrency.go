package concurrency

import (
	"context"
	"reflect"
	"runtime"
	locks "sync"
	. "time"

	"golang.org/x/sync/errgroup" // want `import of golang.org/x/sync/errgroup`
)

type pipe chan int

type state struct {
	locks.Mutex                  // want `sync.Mutex`
	readers     locks.RWMutex    // want `sync.RWMutex`
	group       *locks.WaitGroup // want `sync.WaitGroup`
	cond        locks.Cond       // want `sync.Cond`
	shared      locks.Map        // want `sync.Map`
	once        locks.Once
	pool        locks.Pool
	out         chan<- int
}

func start(ctx context.Context, s *state) {
	go start(ctx, s) // want `go statement`
	s.once.Do(func() {})
	s.out = make(chan int)                 // want `channel made`
	_ = state{out: make(pipe, 1)}          // want `channel made`
	_ = new(chan int)                      // want `channel made`
	_ = map[string]pipe{"a": (make)(pipe)} // want `channel made`
	_ = make([]pipe, 3)
	_ = reflect.MakeChan // want `reflect.MakeChan`
	var group errgroup.Group
	group.Wait()
}

func generic[C ~chan int, S ~[]int]() (C, S) {
	return make(C), make(S, 1) // want `channel made`
}

func wait(ctx context.Context) {
	Sleep(Second)                     // want `time.Sleep: a duty waits with`
	<-After(Second)                   // want `time.After:`
	<-Tick(Second)                    // want `time.Tick:`
	NewTicker(Second).Stop()          // want `time.NewTicker:`
	AfterFunc(Second, func() {})      // want `time.AfterFunc:`
	context.AfterFunc(ctx, func() {}) // want `context.AfterFunc:`
	runtime.Gosched()                 // want `runtime.Gosched:`
	_ = Now()
}
