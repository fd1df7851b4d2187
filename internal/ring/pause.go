package ring

import (
	"context"
	"time"
)

// Pause waits for the duration. It returns the context's error if the context
// ends first, and at once if the duration is zero or negative.
func Pause(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
