// Package lease decides who may hold a lease object of the platform. Safety
// never rests on the clock: a write under a lease is conditional on the
// version of what it changes, and an order carries the fencing number. The
// clock only keeps two holders from disturbing each other.
package lease

import "time"

// Lease is the value of a lease object.
type Lease struct {
	Holder string `json:"holder"`
	// Fence is the fencing number of the holder.
	Fence uint64 `json:"fence"`
	// ExpiresUnixMS is when the lease ends unless it is renewed. Zero after
	// the holder has given it back.
	ExpiresUnixMS int64 `json:"expires_unix_ms"`
}

// maxClockSkew is how far the clocks of two hosts may differ.
const maxClockSkew = time.Second

// Available tells whether somebody else may take the lease.
func (l Lease) Available(now time.Time) bool {
	return now.After(time.UnixMilli(l.ExpiresUnixMS).Add(maxClockSkew))
}

// Valid tells whether the holder may still act under the lease.
func (l Lease) Valid(now time.Time) bool {
	return now.Before(time.UnixMilli(l.ExpiresUnixMS))
}

// RenewAt is when the holder should renew a lease of the given length.
func (l Lease) RenewAt(length time.Duration) time.Time {
	return time.UnixMilli(l.ExpiresUnixMS).Add(-length * 2 / 3)
}

// Acquired returns the lease that a new holder writes over an object of the
// given version, zero for none. Object versions only grow and the write is
// conditional on this one, so no two holders ever get the same fencing
// number, and a later one gets a higher.
func Acquired(holder string, objectVersion uint64, now time.Time, length time.Duration) Lease {
	return Lease{Holder: holder, Fence: objectVersion + 1, ExpiresUnixMS: now.Add(length).UnixMilli()}
}

// Renewed returns the lease with a new end.
func (l Lease) Renewed(now time.Time, length time.Duration) Lease {
	l.ExpiresUnixMS = now.Add(length).UnixMilli()
	return l
}

// Released returns the lease as a holder that stops leaves it behind.
func (l Lease) Released() Lease {
	l.ExpiresUnixMS = 0
	return l
}
