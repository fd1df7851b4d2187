package settings

import "time"

// The figures of a settings file are any JSON numbers: 8, 8.0, 8e0 and 7.5 alike.

// maxFigure is the maximum of a figure. As seconds it still fits into a time.Duration.
const maxFigure = 9e9

// Seconds is a time in seconds.
type Seconds float64

// Duration returns the time, rounded to nanoseconds.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Milliseconds is a time in milliseconds.
type Milliseconds float64

// Duration returns the time, rounded to nanoseconds.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Megabytes is a size in MB.
type Megabytes float64

// Bytes returns the size in bytes, rounded down.
func (m Megabytes) Bytes() int64 { return int64(float64(m) * (1 << 20)) }

// Count is a number of things.
type Count float64

// Int returns the number, rounded down.
func (c Count) Int() int { return int(c) }
