// Package decision violates the checks by reading the clock.
package decision

import "time"

// Late reports whether the deadline has passed.
func Late(deadline time.Time) bool { return time.Now().After(deadline) }
