// Package entry violates the checks by a goroutine and a channel.
package entry

// Start starts work outside the supervisor tree.
func Start(work func()) <-chan bool {
	done := make(chan bool)
	go func() { work(); close(done) }()
	return done
}
