package placement

// isRegionAllowed reports whether a request may be processed in the region of an
// endpoint.
func (d *Duty) isRegionAllowed(e *endpoint, req Request) bool {
	return d.zones.Permits(req.AllowedRegions, e.AvailabilityZone)
}
