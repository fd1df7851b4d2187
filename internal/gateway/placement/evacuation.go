package placement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/evacuation"
)

// evacuatedRetryAfter is the retry delay for a request all of whose endpoints are in
// evacuated availability zones. They come back by an operator's hand only.
const evacuatedRetryAfter = time.Second

// isEvacuated reports whether an endpoint gets no new requests since its
// availability zone is being emptied. Of this host and the one that asks, one may
// have learned of that first.
func (d *Duty) isEvacuated(e *endpoint, req Request) bool {
	return d.evacuations.Evacuated(e.AvailabilityZone) || slices.Contains(req.EvacuatedZones, e.AvailabilityZone)
}

// isOpen reports whether the operator lets the request go to an endpoint.
func (d *Duty) isOpen(e *endpoint, req Request) bool {
	return !d.isEvacuated(e, req) && d.isRegionAllowed(e, req)
}

// noneLeft returns the refusal of a request for which the operator has left no
// endpoint of the service, without asking any coordinator.
func (d *Duty) noneLeft(service string, allowed []core.Region) *core.Refusal {
	endpoints := d.services[service]
	if len(endpoints) == 0 || (!d.evacuations.Any() && len(allowed) == 0) {
		return nil
	}
	reason := core.ReasonRegionNotAllowed
	for _, e := range endpoints {
		switch {
		case !d.zones.Permits(allowed, e.AvailabilityZone):
		case d.evacuations.Evacuated(e.AvailabilityZone):
			reason = core.ReasonEvacuated
		default:
			return nil
		}
	}
	detail := "no endpoint of the service is in a region that is allowed for the request"
	if reason == core.ReasonEvacuated {
		detail = "all availability zones with endpoints for the request are evacuated"
	}
	return core.RefuseWithRetry(reason, detail, evacuatedRetryAfter)
}

// updateEvacuations replaces the orders to empty availability zones.
func (d *Duty) updateEvacuations(orders evacuation.Orders, now time.Time) {
	begun, ended := d.evacuations.SetOrders(orders)
	for _, order := range begun {
		evacuationSince.WithLabelValues(string(order.Zone)).Set(float64(now.UnixMilli()) / 1000)
		d.log.Info("evacuation in force", zap.String("availability_zone", string(order.Zone)), zap.Uint64("revision", order.Revision),
			zap.Int("running", d.runningByZone()[order.Zone]), zap.Duration("after", now.Sub(order.ObservedAt)))
	}
	for _, order := range ended {
		evacuationSince.DeleteLabelValues(string(order.Zone))
		evacuationRunning.DeleteLabelValues(string(order.Zone))
		d.log.Info("evacuation ended", zap.String("availability_zone", string(order.Zone)), zap.Uint64("revision", order.Revision),
			zap.Duration("after", now.Sub(order.ObservedAt)))
	}
}

// reportEvacuations logs how many attempts of this host still run in the evacuated
// availability zones, until there are none.
func (d *Duty) reportEvacuations(now time.Time) {
	if !d.evacuations.Any() {
		return
	}
	running := d.runningByZone()
	for _, zone := range d.evacuations.Zones() {
		evacuationRunning.WithLabelValues(string(zone)).Set(float64(running[zone]))
	}
	for _, p := range d.evacuations.Progress(running, now) {
		fields := []zap.Field{zap.String("availability_zone", string(p.Zone)), zap.Uint64("revision", p.Revision),
			zap.Int("running", p.Running), zap.Duration("after", now.Sub(p.ObservedAt))}
		if p.Emptied {
			d.log.Info("evacuated zone is empty on this host", fields...)
			continue
		}
		d.log.Info("evacuated zone is not empty yet", fields...)
	}
}

// runningByZone counts the running attempts of this host by availability zone.
func (d *Duty) runningByZone() map[core.AvailabilityZone]int {
	running := map[core.AvailabilityZone]int{}
	for id := range d.requests {
		a := d.attempts.Get(id)
		if a == nil || a.Host != d.host.Name {
			continue
		}
		if e := d.endpoints[a.Endpoint]; e != nil {
			running[e.AvailabilityZone]++
		}
	}
	return running
}
