// Package backoff computes exponential retry delays with jitter.
package backoff

import "time"

const (
	// BaseDelay is the upper bound of the delay after the first failure.
	BaseDelay = 200 * time.Millisecond
	// MaxDelay is the upper bound of the delay after repeated failures, for
	// calls that a caller waits for.
	MaxDelay = 5 * time.Second
)

// Delay returns the delay after the given number of consecutive failures, at
// least one. The upper bound doubles from BaseDelay up to limit. Jitter, a
// random number in [0, 1), picks a delay in the upper half of that bound, so
// that callers that failed together do not retry together.
func Delay(failures int, limit time.Duration, jitter float64) time.Duration {
	delay := BaseDelay
	for range failures - 1 {
		if delay >= limit {
			break
		}
		delay *= 2
	}
	delay = min(delay, limit)
	return delay/2 + time.Duration(jitter*float64(delay/2))
}
