// Package warmup limits the requests to endpoints that are cold: those that have
// just started, or that say so, and those that may have restarted unnoticed. The
// operator's rate for a cold endpoint holds over all hosts, so only one host, the
// owner of the endpoint, grants requests to it. The requests granted in any
// Window are bounded, and the limit grows by steps once the endpoint is warm.
package warmup

import (
	"math"
	"time"
)

const (
	// Window is the sliding window of the limit: the operator's second and the
	// time for which a grant may be on its way to the host that uses it.
	Window = 1100 * time.Millisecond
	// handover is how long a new owner of a known endpoint grants nothing. In that
	// time the previous owner learns that it is none, and its grants are used.
	handover = 2 * Window
	// ownerShare is the part of the operator's bound that one owner grants. Two may
	// grant at once if one is cut off from the store. What is left covers grants
	// that were used late.
	ownerShare = 0.4
	// rampSteps is the number of windows in which the limit doubles before it ends.
	rampSteps = 2
	// idleAfter is the time without a grant after which an endpoint may have
	// restarted or become cold without anybody noticing.
	idleAfter = 2 * time.Second
	// maxDowntime is how long an endpoint that failed may be down and come back
	// under its old entry. The entry of one that is down for longer is removed.
	maxDowntime = 5 * time.Second
	// MaxCold bounds how long an endpoint can be cold by its own word.
	MaxCold = 5 * time.Minute
	// clockMargin is by how much the endpoint's time of day and this host's may
	// differ when the endpoint's start is judged to be recent.
	clockMargin = 10 * time.Second
	// rememberFor is how long an endpoint without an entry is remembered.
	rememberFor = time.Minute
)

// Rate is what a cold endpoint of a service bears.
type Rate struct {
	// PerSecond is the rate in requests per second. Overage and Slack are the
	// operator's tolerance: PerSecond*Overage+Slack requests in any second.
	PerSecond, Overage, Slack float64
	// ColdFor is how long an endpoint is cold after its start.
	ColdFor time.Duration
}

// Enabled reports whether the operator limits the requests to cold endpoints.
func (r Rate) Enabled() bool { return r.PerSecond > 0 && r.Overage > 0 }

// Bound returns the requests that a cold endpoint may get in any second.
func (r Rate) Bound() int { return int(r.PerSecond*r.Overage + r.Slack) }

// Share returns the requests that one owner may grant in a Window. It is zero if
// the bound is too small to be shared, which keeps all requests away.
func (r Rate) Share() int {
	return int(min(math.Ceil(r.PerSecond), ownerShare*float64(r.Bound())))
}

// State tells why an endpoint is limited.
type State int

// The states of an endpoint.
const (
	// Warm endpoints are not limited.
	Warm State = iota
	// Warming endpoints were cold, or had no requests for some time. Their limit
	// grows.
	Warming
	// Suspect endpoints failed, and may have restarted.
	Suspect
	// Cold endpoints are cold by their entry or by their own word, or have just
	// appeared.
	Cold
)

// String implements fmt.Stringer.
func (s State) String() string { return [...]string{"warm", "warming", "suspect", "cold"}[s] }

// Restricted reports whether only the owner of the endpoint may send requests.
func (s State) Restricted() bool { return s == Cold || s == Suspect }

// Entry is an endpoint as the list shows it.
type Entry struct {
	// StartedUnixMS tells the incarnations of an endpoint apart.
	StartedUnixMS int64
	// ColdUntil is when the endpoint becomes warm by its entry, zero if it is warm.
	ColdUntil time.Time
	Rate      Rate
}

// Limiter limits the requests to endpoints, by their names. The grants of one
// incarnation count for the next, as requests to the old one reach the new one.
// All times are readings of one clock of the host. The zero value is not usable;
// see New.
type Limiter struct {
	endpoints map[string]*endpoint
	// grantedSince and grantedAt are the first and the last grant of the current
	// series without a pause of idleAfter.
	grantedSince, grantedAt time.Time
}

type endpoint struct {
	Entry
	// startUntil, saidUntil and suspectUntil are when the endpoint becomes warm
	// by its appearance, its answers and its failures.
	startUntil, saidUntil, suspectUntil time.Time
	// failedAt is the last failure, unproven whether no attempt made after it has
	// succeeded.
	failedAt time.Time
	unproven bool
	// ownsFrom is when this host may grant as the owner, zero if it is not.
	ownsFrom time.Time
	// listedAt is when the endpoint was first listed.
	listedAt time.Time
	// rampFrom is when the limit began to grow.
	rampFrom time.Time
	// grants are the times of the grants in the last window. usedAt is the last
	// grant, or when the endpoint was first listed.
	grants   []time.Time
	usedAt   time.Time
	unlisted time.Time
}

// New returns a limiter without endpoints.
func New() *Limiter { return &Limiter{endpoints: map[string]*endpoint{}} }

// SetEntries replaces the listed endpoints. A new incarnation that has started a
// short time ago is cold for its service's time, unless it was running before this
// host had a list, which appeared reports. Older ones have only come back to the
// list, as all do after an outage of the store.
func (l *Limiter) SetEntries(entries map[string]Entry, appeared bool, now time.Time) {
	for name, entry := range entries {
		e := l.endpoints[name]
		isNew := e == nil
		switch {
		case isNew:
			e = &endpoint{usedAt: now, listedAt: now}
			l.endpoints[name] = e
		case e.StartedUnixMS != entry.StartedUnixMS:
			isNew = true
			*e = endpoint{grants: e.grants, usedAt: e.usedAt, ownsFrom: e.ownsFrom, listedAt: e.listedAt}
		}
		if isNew && appeared && now.Sub(time.UnixMilli(entry.StartedUnixMS)) < entry.Rate.ColdFor+clockMargin {
			e.startUntil = now.Add(entry.Rate.ColdFor)
		}
		e.Entry, e.unlisted = entry, time.Time{}
	}
	for name, e := range l.endpoints {
		if _, listed := entries[name]; listed {
			continue
		}
		if e.ownsFrom = (time.Time{}); e.unlisted.IsZero() {
			e.unlisted = now
		}
		if now.Sub(e.unlisted) > rememberFor {
			delete(l.endpoints, name)
		}
	}
}

// SetOwner records whether this host is the endpoint's owner. A new owner grants
// nothing to a cold endpoint for the time of a handover, or for a window if the
// endpoint is new and no other host can have granted.
func (l *Limiter) SetOwner(name string, owner bool, now time.Time) {
	e := l.endpoints[name]
	switch {
	case e == nil:
	case !owner:
		e.ownsFrom = time.Time{}
	case e.ownsFrom.IsZero() && now.Sub(e.listedAt) < Window:
		e.ownsFrom = now.Add(Window)
	case e.ownsFrom.IsZero():
		e.ownsFrom = now.Add(handover)
	}
}

// SaidCold records that the endpoint says that it stays cold for some time.
func (l *Limiter) SaidCold(name string, left time.Duration, now time.Time) {
	if e := l.endpoints[name]; e != nil && left > 0 {
		e.saidUntil = later(e.saidUntil, now.Add(min(left, MaxCold)))
	}
}

// Failed records an attempt to which the endpoint gave no complete answer. It may
// have crashed, and be cold when it is back.
func (l *Limiter) Failed(name string, now time.Time) {
	if e := l.endpoints[name]; e != nil && e.Rate.Enabled() {
		e.failedAt, e.unproven = now, true
		e.suspectUntil = now.Add(maxDowntime + e.Rate.ColdFor)
	}
}

// Succeeded records a success of an attempt that was granted at the given time.
// The first one after a failure shows that the endpoint is running; it may have
// started just before.
func (l *Limiter) Succeeded(name string, granted, now time.Time) {
	if e := l.endpoints[name]; e != nil && e.unproven && granted.After(e.failedAt) {
		e.unproven, e.suspectUntil = false, now.Add(e.Rate.ColdFor)
	}
}

// StateOf returns the state of an endpoint, and when it becomes warm if it is
// cold or suspect.
func (l *Limiter) StateOf(name string, now time.Time) (State, time.Time) {
	e := l.endpoints[name]
	if e == nil || !e.Rate.Enabled() {
		return Warm, time.Time{}
	}
	cold := later(later(e.ColdUntil, e.saidUntil), e.startUntil)
	switch until := later(cold, e.suspectUntil); {
	case now.Before(cold):
		return Cold, until
	case now.Before(until):
		return Suspect, until
	case e.rampStep(until, now) < rampSteps || l.idle(e, now):
		return Warming, time.Time{}
	}
	return Warm, time.Time{}
}

// Limit returns how many requests this host may grant to the endpoint in the
// current window, and false if there is no limit.
func (l *Limiter) Limit(name string, now time.Time) (int, bool) {
	e := l.endpoints[name]
	switch state, _ := l.StateOf(name, now); state {
	case Cold, Suspect:
		if !e.owned(now) {
			return 0, true
		}
		return e.Rate.Share(), true
	case Warming:
		if l.idle(e, now) {
			return max(1, e.Rate.Share()), true
		}
		until := later(later(e.ColdUntil, e.saidUntil), later(e.startUntil, e.suspectUntil))
		return max(1, e.Rate.Share()) << e.rampStep(until, now), true
	}
	return 0, false
}

// Allows reports whether this host may grant one more request to the endpoint.
func (l *Limiter) Allows(name string, now time.Time) bool {
	limit, limited := l.Limit(name, now)
	return !limited || l.endpoints[name].inWindow(now) < limit
}

// Grant records that a request was granted.
func (l *Limiter) Grant(name string, now time.Time) {
	e := l.endpoints[name]
	if e == nil || !e.Rate.Enabled() {
		return
	}
	if l.idle(e, now) {
		e.rampFrom = now
	}
	if now.Sub(l.grantedAt) > idleAfter {
		l.grantedSince = now
	}
	e.inWindow(now)
	e.grants = append(e.grants, now)
	e.usedAt, l.grantedAt = now, now
}

// owned reports whether this host may grant as the owner.
func (e *endpoint) owned(now time.Time) bool { return !e.ownsFrom.IsZero() && !now.Before(e.ownsFrom) }

// inWindow drops the grants before the window, and returns the number of those
// in it.
func (e *endpoint) inWindow(now time.Time) int {
	old := 0
	for old < len(e.grants) && now.Sub(e.grants[old]) >= Window {
		old++
	}
	e.grants = append(e.grants[:0], e.grants[old:]...)
	return len(e.grants)
}

// rampStep returns by how many steps the limit has grown. After the cold time it
// has grown by one.
func (e *endpoint) rampStep(coldUntil, now time.Time) int {
	began := e.rampFrom
	if !coldUntil.IsZero() {
		began = later(began, coldUntil.Add(-Window))
	}
	if began.IsZero() {
		return rampSteps
	}
	return int(min(rampSteps, now.Sub(began)/Window))
}

// idle reports whether the endpoint got no request for some time while others
// did. Only its owner knows that, once it has granted requests for some time.
func (l *Limiter) idle(e *endpoint, now time.Time) bool {
	granting := now.Sub(l.grantedAt) <= idleAfter && l.grantedAt.Sub(l.grantedSince) > idleAfter
	return granting && e.owned(now) && now.Sub(e.usedAt) > idleAfter
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
