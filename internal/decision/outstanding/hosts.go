package outstanding

import "time"

// ReportedAttempt is an attempt that an entry host reports as running.
type ReportedAttempt struct {
	Attempt        Attempt
	OutputReceived int
}

// ApplyHostReport notes a report of an entry host: what it lists is counted and
// confirmed. If the report is full, attempts of the host that it does not
// list are taken from the count: at once if an earlier report listed them,
// else after ConfirmTimeout. It returns what was taken.
func (b *Tracker) ApplyHostReport(host string, listed []ReportedAttempt, full bool, now time.Time) []*Attempt {
	b.hosts[host] = now
	seen := make(map[string]bool, len(listed))
	for i := range listed {
		l := &listed[i]
		seen[l.Attempt.ID] = true
		b.Add(&l.Attempt, now)
		a := b.attempts[l.Attempt.ID]
		a.Confirmed = true
		a.OutputReceived = max(a.OutputReceived, l.OutputReceived)
		if a.FirstTokenAt.IsZero() {
			a.FirstTokenAt = l.Attempt.FirstTokenAt
		}
	}
	if !full {
		return nil
	}
	return b.removeWhere(now, func(a *Attempt) bool {
		late := a.Confirmed || now.Sub(a.GrantedAt) >= ConfirmTimeout
		return a.Host == host && !seen[a.ID] && late
	})
}

// ExpireSilentHosts takes the attempts of entry hosts from the count that have not been
// heard for HostTimeout, and returns them. A host that was never heard counts
// from the grant.
func (b *Tracker) ExpireSilentHosts(now time.Time) []*Attempt {
	for host, heard := range b.hosts {
		if now.Sub(heard) >= HostTimeout {
			delete(b.hosts, host)
		}
	}
	return b.removeWhere(now, func(a *Attempt) bool {
		_, alive := b.hosts[a.Host]
		return !alive && now.Sub(a.GrantedAt) >= HostTimeout
	})
}

// HasHostReport tells whether a host's report has arrived lately.
func (b *Tracker) HasHostReport(host string) bool {
	_, heard := b.hosts[host]
	return heard
}

func (b *Tracker) removeWhere(now time.Time, match func(*Attempt) bool) []*Attempt {
	var removed []*Attempt
	for _, a := range b.attempts {
		if match(a) {
			removed = append(removed, a)
		}
	}
	for _, a := range removed {
		b.Remove(a.ID, now)
	}
	return removed
}
