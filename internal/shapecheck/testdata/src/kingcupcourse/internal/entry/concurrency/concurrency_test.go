package concurrency

import "sync"

func waitInTest() {
	var group sync.WaitGroup
	group.Go(func() {})
	group.Wait()
}
