package ring

import (
	"context"
	"time"
)

// Pause waits for the time given. It returns the context's error if the
// context ends first. A time of zero or less does not wait.
func Pause(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
