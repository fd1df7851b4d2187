// Package backoff decides how long to wait before a failed call is repeated.
package backoff

import "time"

const (
	// Min is the longest wait after the first failure.
	Min = 200 * time.Millisecond
	// Max is the longest wait after many failures.
	Max = 5 * time.Second
)

// Delay returns the wait after failures in a row, at least one. It doubles
// from Min to Max and is then spread by jitter, a random number in [0, 1),
// over its upper half, so that many callers do not return at once.
func Delay(failures int, jitter float64) time.Duration {
	ceiling := Min
	for range failures - 1 {
		ceiling = min(2*ceiling, Max)
		if ceiling == Max {
			break
		}
	}
	return ceiling/2 + time.Duration(jitter*float64(ceiling/2))
}
