// Package lease implements the lease objects stored in the platform. Safety
// does not depend on clocks: every write under a lease is conditional on the
// version of the object it changes, and every order carries the fencing number.
// Expiry times only keep two holders from interfering with each other.
package lease

import "time"

// Lease is the value of a lease object.
type Lease struct {
	Holder string `json:"holder"`
	// Fence is the fencing number of the holder.
	Fence uint64 `json:"fence"`
	// ExpiresUnixMS is the expiry time unless the lease is renewed; zero once
	// the holder has released it.
	ExpiresUnixMS int64 `json:"expires_unix_ms"`
}

// maxClockSkew is the assumed maximum clock difference between two hosts.
const maxClockSkew = time.Second

// Available reports whether another holder may acquire the lease.
func (l Lease) Available(now time.Time) bool {
	return now.After(time.UnixMilli(l.ExpiresUnixMS).Add(maxClockSkew))
}

// Valid reports whether the holder may still act under the lease.
func (l Lease) Valid(now time.Time) bool {
	return now.Before(time.UnixMilli(l.ExpiresUnixMS))
}

// RenewAt returns when the holder should renew a lease of the given duration.
func (l Lease) RenewAt(duration time.Duration) time.Time {
	return time.UnixMilli(l.ExpiresUnixMS).Add(-duration * 2 / 3)
}

// Acquired returns the lease that a new holder writes over an object of the
// given version, zero if there is no object. Object versions only grow and the
// write is conditional on this version, so fencing numbers are unique and
// increase from holder to holder.
func Acquired(holder string, objectVersion uint64, now time.Time, duration time.Duration) Lease {
	return Lease{Holder: holder, Fence: objectVersion + 1, ExpiresUnixMS: now.Add(duration).UnixMilli()}
}

// Renewed returns the lease with its expiry extended.
func (l Lease) Renewed(now time.Time, duration time.Duration) Lease {
	l.ExpiresUnixMS = now.Add(duration).UnixMilli()
	return l
}

// Released returns the lease as written by a holder that gives it up.
func (l Lease) Released() Lease {
	l.ExpiresUnixMS = 0
	return l
}
