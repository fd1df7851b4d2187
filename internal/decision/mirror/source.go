package mirror

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/decision/fleet"
)

const (
	// maxDirectHosts is the size of a fleet in which each host reads the store
	// itself.
	maxDirectHosts = 15
	// maxUpstreams is how many hosts of its zone a host tries before it reads the
	// store itself.
	maxUpstreams = 4
	// MaxAge is how old the state of an upstream may be. One of the first hosts of a
	// zone whose upstreams are older reads the store itself, so MaxAge adds to the
	// time until a change is in force if an upstream loses the store.
	MaxAge = time.Second
	// takeoverTime is how much longer a host waits for each of its upstreams after the
	// second, so that one of them has read the store by then and can answer.
	takeoverTime = 250 * time.Millisecond
	// staleRetry is how long an upstream without fresh state is passed over.
	staleRetry = 300 * time.Millisecond
	// minFailureRetry and maxFailureRetry bound how long an upstream that did not
	// answer is passed over. The time doubles with each failure.
	minFailureRetry, maxFailureRetry = time.Second, 8 * time.Second
)

// Upstreams returns the hosts from which a host learns of changes, the preferred
// one first. It returns none if the host is to read the store itself: in a small
// fleet, and on the first host of each availability zone. Hosts with more
// processor time come first.
func Upstreams(hosts []fleet.Host, self string) []fleet.Host {
	at := slices.IndexFunc(hosts, func(h fleet.Host) bool { return h.Name == self })
	if len(hosts) <= maxDirectHosts || at < 0 {
		return nil
	}
	zone := hosts[at].AvailabilityZone
	order := slices.DeleteFunc(slices.Clone(hosts), func(h fleet.Host) bool { return h.AvailabilityZone != zone })
	slices.SortFunc(order, func(a, b fleet.Host) int {
		return cmp.Or(cmp.Compare(b.Processor, a.Processor),
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	before := slices.IndexFunc(order, func(h fleet.Host) bool { return h.Name == self })
	return order[:min(before, maxUpstreams)]
}

// Source decides whether a host learns of changes from an upstream or from the
// store, and how old its state may be.
type Source struct {
	upstreams []fleet.Host
	peers     map[string]*peerState // by address
	// freshAt is the time as of which an upstream had the store's state.
	freshAt time.Time
	// storeAt is when the store last answered; storeWorks is cleared when a call
	// failed, and while it has not been tried since the upstreams became stale.
	storeAt    time.Time
	storeWorks bool
}

type peerState struct {
	failures int
	retryAt  time.Time
}

// NewSource returns the source of a host that reads the store itself.
func NewSource() *Source { return &Source{peers: map[string]*peerState{}, storeWorks: true} }

// SetUpstreams replaces the upstreams. A host that gets its first upstreams gives
// them the time of maxAge to answer.
func (s *Source) SetUpstreams(upstreams []fleet.Host, now time.Time) {
	if len(s.upstreams) == 0 && len(upstreams) > 0 {
		s.freshAt, s.storeWorks = now, false
	}
	if len(s.upstreams) > 0 && len(upstreams) == 0 {
		s.storeWorks = true
	}
	s.upstreams = upstreams
	known := s.peers
	s.peers = make(map[string]*peerState, len(upstreams))
	for _, host := range upstreams {
		s.peers[host.Address] = known[host.Address]
		if s.peers[host.Address] == nil {
			s.peers[host.Address] = &peerState{}
		}
	}
}

// HasUpstreams reports whether the host has upstreams, fresh or not.
func (s *Source) HasUpstreams() bool { return len(s.upstreams) > 0 }

// NextUpstream returns the upstream to ask now. If there is none, it returns when
// one may be asked again, zero for never.
func (s *Source) NextUpstream(now time.Time) (next fleet.Host, retryAt time.Time, ok bool) {
	for _, host := range s.upstreams {
		peer := s.peers[host.Address]
		if !now.Before(peer.retryAt) {
			return host, time.Time{}, true
		}
		if retryAt.IsZero() || peer.retryAt.Before(retryAt) {
			retryAt = peer.retryAt
		}
	}
	return fleet.Host{}, retryAt, false
}

// UpstreamAnswered records the age of an upstream's state. Behind reports that it
// lacks changes that this host has.
func (s *Source) UpstreamAnswered(address string, age time.Duration, behind bool, now time.Time) {
	peer := s.peers[address]
	if peer == nil {
		return
	}
	peer.failures = 0
	if behind || age > MaxAge {
		peer.retryAt = now.Add(staleRetry)
		return
	}
	if asOf := now.Add(-age); asOf.After(s.freshAt) {
		s.freshAt = asOf
	}
	if !s.ReadsStore(now) {
		s.storeWorks = false // unknown until the store is needed again
	}
}

// UpstreamFailed records that an upstream did not answer.
func (s *Source) UpstreamFailed(address string, now time.Time) {
	if peer := s.peers[address]; peer != nil {
		peer.failures++
		peer.retryAt = now.Add(min(maxFailureRetry, minFailureRetry<<min(peer.failures-1, 3)))
	}
}

// StoreAnswered records an answer of the store.
func (s *Source) StoreAnswered(now time.Time) { s.storeAt, s.storeWorks = now, true }

// StoreFailed records a call to which the store did not answer.
func (s *Source) StoreFailed() { s.storeWorks = false }

// ReadsStore reports whether the host reads the store itself.
func (s *Source) ReadsStore(now time.Time) bool {
	return len(s.upstreams) == 0 || now.Sub(s.freshAt) > s.maxAge()
}

// maxAge returns how old the state of this host may be before it reads the store.
func (s *Source) maxAge() time.Duration {
	return MaxAge + time.Duration(max(0, len(s.upstreams)-2))*takeoverTime
}

// StaleAt returns when the host begins to read the store unless an upstream
// answers, zero if it reads the store already.
func (s *Source) StaleAt(now time.Time) time.Time {
	if s.ReadsStore(now) {
		return time.Time{}
	}
	return s.freshAt.Add(s.maxAge() + 1)
}

// StoreWorks reports whether the store answered the last call. After a failure
// only a cheap call tries it again.
func (s *Source) StoreWorks() bool { return s.storeWorks }

// StoreAt returns when the store last answered.
func (s *Source) StoreAt() time.Time { return s.storeAt }

// ConfirmedAt returns the time as of which the host's state was that of the store.
func (s *Source) ConfirmedAt() time.Time {
	if s.storeAt.After(s.freshAt) {
		return s.storeAt
	}
	return s.freshAt
}
