// Package backoff decides how long to wait before a failed call is repeated.
package backoff

import "time"

const (
	// BaseDelay is the longest wait after the first failure.
	BaseDelay = 200 * time.Millisecond
	// MaxDelay is the longest wait after many failures of a call that somebody
	// waits for.
	MaxDelay = 5 * time.Second
)

// Delay returns the wait after failures in a row, at least one. It doubles
// from Min to the limit and is then spread by jitter, a random number in
// [0, 1), over its upper half, so that many callers do not return at once.
func Delay(failures int, limit time.Duration, jitter float64) time.Duration {
	wait := BaseDelay
	for range failures - 1 {
		if wait >= limit {
			break
		}
		wait *= 2
	}
	wait = min(wait, limit)
	return wait/2 + time.Duration(jitter*float64(wait/2))
}
