// Package keepalive decides whether an idle connection to an endpoint may carry a
// request. It answers to a load of many hosts that send few requests each to many
// endpoints: a new connection for each request costs a round trip and a place at
// the endpoint, and a connection that is kept too long loses the request, as its
// endpoint may have closed it or be gone.
package keepalive

import "time"

const (
	// MaxIdle bounds the idle time of a connection, whatever its endpoint states. An
	// endpoint that vanishes without a word is noticed by a new connection.
	MaxIdle = 8 * time.Second
	// maxIdleOnce is the bound for a request that may not be repeated. It is shorter,
	// as such a request is lost with its connection.
	maxIdleOnce = 5 * time.Second
	// unstatedIdle is the bound if the endpoint states no timeout.
	unstatedIdle = 1500 * time.Millisecond
	// maxSilence is how long a request on a reused connection may wait for its answer
	// until the endpoint is in doubt. A new connection shows whether it is there.
	maxSilence = 250 * time.Millisecond
	// shareOfStated is the part of a stated timeout that is used. The rest covers
	// clocks that run apart, and an endpoint that counts from its own last read.
	shareOfStated = 0.6
	// shareOfObserved is the part used of the shortest idle time after which the
	// endpoint closed a connection on its own.
	shareOfObserved = 0.5
	// connectionShare is the part of the connections an endpoint accepts that all
	// hosts together may keep idle.
	connectionShare = 0.5
	// maxIdlePerEndpoint bounds the idle connections that one host keeps to an endpoint.
	maxIdlePerEndpoint = 8
)

// Connection describes an idle connection.
type Connection struct {
	// IdleSince is when its last response ended.
	IdleSince time.Time
	// Stated is the idle timeout that the endpoint stated last, zero for none.
	Stated time.Duration
	// Incarnation is the start time of the endpoint that it leads to.
	Incarnation time.Time
}

// Endpoint is what a host has seen of an endpoint.
type Endpoint struct {
	// Incarnation is its start time.
	Incarnation time.Time
	// FaultAt is when an attempt failed there last, or brought an answer to another
	// request.
	FaultAt time.Time
	// WaitingSince is when the first request was sent on a reused connection since the
	// last answer began, zero if none waits.
	WaitingSince time.Time
	// ShortestClose is the shortest idle time after which it closed a connection,
	// zero for none.
	ShortestClose time.Duration
}

// Verdict tells whether a connection may carry a request, and if not, why.
type Verdict string

// The verdicts.
const (
	Usable Verdict = "usable"
	// Expired connections have been idle for too long for any request.
	Expired Verdict = "expired"
	// TooOldForOnce is for a connection that may only carry requests that may be
	// repeated.
	TooOldForOnce Verdict = "too_old_for_once"
	// Restarted endpoints have closed their connections, or another endpoint has the
	// address now.
	Restarted Verdict = "restarted"
	// AfterFault is for a connection that was idle when the endpoint failed.
	AfterFault Verdict = "after_fault"
	// Silent is for a connection to an endpoint that may have vanished. The connection
	// may be kept, as the endpoint may also just be busy.
	Silent Verdict = "silent"
)

// Judge decides about a connection at a time. Repeatable is set for a request that
// may run again after any failure.
func Judge(c Connection, e Endpoint, repeatable bool, now time.Time) Verdict {
	idle := now.Sub(c.IdleSince)
	limit := Limit(c, e)
	switch {
	case !c.Incarnation.Equal(e.Incarnation):
		return Restarted
	case !e.FaultAt.IsZero() && !c.IdleSince.After(e.FaultAt):
		return AfterFault
	case idle < 0 || idle >= limit:
		return Expired
	case !repeatable && idle >= min(limit, maxIdleOnce):
		return TooOldForOnce
	case !e.WaitingSince.IsZero() && now.Sub(e.WaitingSince) > maxSilence:
		return Silent
	}
	return Usable
}

// Keeps reports whether a connection may stay idle after the verdict.
func (v Verdict) Keeps() bool { return v == Usable || v == TooOldForOnce || v == Silent }

// Limit returns how long the connection may be idle.
func Limit(c Connection, e Endpoint) time.Duration {
	limit := unstatedIdle
	if c.Stated > 0 {
		limit = min(MaxIdle, share(c.Stated, shareOfStated))
	}
	if e.ShortestClose > 0 {
		limit = min(limit, share(e.ShortestClose, shareOfObserved))
	}
	return limit
}

// Capacity returns how many idle connections a host may keep to one endpoint, if
// the endpoint accepts at most the given number from all the hosts. A zero maximum
// means that it states none.
func Capacity(maxConnections, hosts int) int {
	if maxConnections <= 0 {
		return maxIdlePerEndpoint
	}
	each := int(connectionShare * float64(maxConnections) / float64(max(1, hosts)))
	return min(maxIdlePerEndpoint, max(1, each))
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }
