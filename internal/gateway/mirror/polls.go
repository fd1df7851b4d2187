package mirror

import "time"

// servedTime is for how long after a request of another host this host proves by
// probes that its state is fresh.
const servedTime = 2 * time.Second

// poll is a request of another host that is held.
type poll struct {
	changesMessage
	until time.Time
}

func (m changesMessage) handle(k *keeper, now time.Time) {
	k.lastServed = now
	until := now
	if !m.request.Urgent {
		until = now.Add(holdTime)
	}
	k.polls = append(k.polls, poll{m, until})
}

// isServing reports whether other hosts learn from this host.
func (k *keeper) isServing(now time.Time) bool {
	return !k.lastServed.IsZero() && now.Sub(k.lastServed) <= servedTime
}

// answerPolls answers the requests of other hosts for which there are changes, or
// whose time is over.
func (k *keeper) answerPolls(now time.Time) {
	held := k.polls[:0]
	for _, p := range k.polls {
		if now.Before(p.until) && !k.hasNews(p.request) {
			held = append(held, p)
			k.tickAt(p.until)
			continue
		}
		p.Send(k.changesSince(p.request, now))
	}
	clear(k.polls[len(held):])
	k.polls = held
}

func (k *keeper) hasNews(request ChangesRequest) bool {
	for name, p := range k.prefixes {
		known := request.Known[name]
		if p.replica.HasNews(known.Listed, known.Revision) {
			return true
		}
	}
	return false
}

func (k *keeper) changesSince(request ChangesRequest, now time.Time) ChangesResponse {
	response := ChangesResponse{AgeMS: k.age(now), Prefixes: make(map[string]Prefix, len(k.prefixes))}
	for name, p := range k.prefixes {
		if !p.replica.Listed() {
			continue
		}
		known := request.Known[name]
		changes, full := p.replica.Since(known.Listed, known.Revision)
		response.Prefixes[name] = Prefix{Revision: p.replica.Revision(), Full: full, Objects: toMessage(changes)}
	}
	return response
}

// age returns how long ago the copies were complete, in milliseconds; -1 for never.
func (k *keeper) age(now time.Time) int64 {
	for _, p := range k.prefixes {
		if !p.replica.Listed() {
			return -1
		}
	}
	return now.Sub(k.source.ConfirmedAt()).Milliseconds()
}
