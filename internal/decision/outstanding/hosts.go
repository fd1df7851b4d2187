package outstanding

import "time"

// ReportedAttempt is an attempt that an entry host reports as running.
type ReportedAttempt struct {
	Attempt        Attempt
	OutputReceived int
}

// ApplyHostReport applies a report of an entry host: the attempts that it lists
// are tracked and confirmed. If the report is full, attempts of the host that
// it does not list are removed: at once if an earlier report listed them,
// otherwise after ConfirmTimeout. It returns the removed attempts.
func (t *Tracker) ApplyHostReport(host string, listed []ReportedAttempt, full bool, now time.Time) []*Attempt {
	t.hosts[host] = now
	seen := make(map[string]bool, len(listed))
	for i := range listed {
		l := &listed[i]
		seen[l.Attempt.ID] = true
		t.Add(&l.Attempt, now)
		a := t.attempts[l.Attempt.ID]
		a.Confirmed = true
		a.OutputReceived = max(a.OutputReceived, l.OutputReceived)
		if a.FirstTokenAt.IsZero() {
			a.FirstTokenAt = l.Attempt.FirstTokenAt
		}
	}
	if !full {
		return nil
	}
	return t.removeWhere(now, func(a *Attempt) bool {
		late := a.Confirmed || now.Sub(a.GrantedAt) >= ConfirmTimeout
		return a.Host == host && !seen[a.ID] && late
	})
}

// ExpireSilentHosts removes the attempts of entry hosts that have not reported
// for HostTimeout, and returns them. For a host that has never reported the
// time runs from the grant.
func (t *Tracker) ExpireSilentHosts(now time.Time) []*Attempt {
	for host, lastReport := range t.hosts {
		if now.Sub(lastReport) >= HostTimeout {
			delete(t.hosts, host)
		}
	}
	return t.removeWhere(now, func(a *Attempt) bool {
		_, alive := t.hosts[a.Host]
		return !alive && now.Sub(a.GrantedAt) >= HostTimeout
	})
}

// HasHostReport reports whether a report of the host arrived recently.
func (t *Tracker) HasHostReport(host string) bool {
	_, reported := t.hosts[host]
	return reported
}

func (t *Tracker) removeWhere(now time.Time, match func(*Attempt) bool) []*Attempt {
	var removed []*Attempt
	for _, a := range t.attempts {
		if match(a) {
			removed = append(removed, a)
		}
	}
	for _, a := range removed {
		t.Remove(a.ID, now)
	}
	return removed
}
