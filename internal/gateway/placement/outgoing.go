package placement

import (
	"time"

	"kingcupcourse/internal/ring"
)

// listPeriod is the time between two full lists to a coordinator, from which a
// new one learns the running attempts.
const listPeriod = 500 * time.Millisecond

// outbox holds the updates for one coordinator.
type outbox struct {
	pending  []Update
	listedAt time.Time // time of the last full list
}

// outgoing holds the updates on this host's attempts for other coordinators, by
// their address.
type outgoing map[string]*outbox

func (o outgoing) box(address string) *outbox {
	box := o[address]
	if box == nil {
		box = &outbox{}
		o[address] = box
	}
	return box
}

// outgoingUpdates is a message of updates and the coordinator it is for.
type outgoingUpdates struct {
	address string
	updates Updates
}

// takeOutgoing asks for the updates that are due for other coordinators.
type takeOutgoing struct {
	ring.Reply[takenUpdates]
}

// takenUpdates is the response to takeOutgoing. running reports that attempts are
// still running, so that full lists have to be sent.
type takenUpdates struct {
	messages []outgoingUpdates
	running  bool
}

func (m takeOutgoing) handle(d *Duty, now time.Time) { m.Send(d.takeOutgoing(now)) }

// queueUpdate queues an update on an attempt of this host for the coordinator of
// its endpoint.
func (d *Duty) queueUpdate(u Update, now time.Time) {
	a, req := d.attempts.Get(u.Attempt), d.requests[u.Attempt]
	if a == nil || a.Host != d.host.Name {
		return
	}
	if address := d.directory.coordinatorOf(req.Service, a.Endpoint, now); address != "" {
		box := d.outgoing.box(address)
		box.pending = append(box.pending, u)
	}
}

func (d *Duty) takeOutgoing(now time.Time) takenUpdates {
	running := d.runningByCoordinator(now)
	for address := range running {
		d.outgoing.box(address)
	}
	failed := d.failedByCoordinator(now)
	taken := takenUpdates{running: len(running) > 0}
	for address, box := range d.outgoing {
		updates := Updates{Host: d.host.Name, Updates: box.pending}
		if now.Sub(box.listedAt) >= listPeriod {
			updates.Running, updates.Full, box.listedAt = running[address], true, now
			updates.Failed = failed[address]
		}
		if updates.Full || len(updates.Updates) > 0 {
			taken.messages = append(taken.messages, outgoingUpdates{address, updates})
		}
		if box.pending = nil; len(running[address]) == 0 {
			delete(d.outgoing, address)
		}
	}
	return taken
}

// runningByCoordinator returns the running attempts of this host by the address of
// the coordinator of their endpoint, without those that this host coordinates.
func (d *Duty) runningByCoordinator(now time.Time) map[string][]Running {
	running := map[string][]Running{}
	for id, req := range d.requests {
		a := d.attempts.Get(id)
		if a == nil || a.Host != d.host.Name {
			continue
		}
		if address := d.directory.coordinatorOf(req.Service, a.Endpoint, now); address != "" {
			running[address] = append(running[address], Running{Request: req, Endpoint: a.Endpoint, Started: a.OutputReceived > 0})
		}
	}
	return running
}
