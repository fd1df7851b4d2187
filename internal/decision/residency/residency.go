// Package residency decides in which regions a request may be processed. Routes and
// client accounts may each be restricted to some regions.
package residency

import (
	"slices"

	"kingcupcourse/internal/core"
)

// Allowed returns the regions in which a request may be processed, given those of
// its route and its client account. An empty list stands for all regions. It returns
// false if both are restricted and have no region in common.
func Allowed(route, account []core.Region) (regions []core.Region, ok bool) {
	switch {
	case len(route) == 0:
		return account, true
	case len(account) == 0:
		return route, true
	}
	for _, region := range route {
		if slices.Contains(account, region) {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}

// Zones holds the region of each known availability zone.
type Zones map[core.AvailabilityZone]core.Region

// Permits reports whether a request that may be processed in the regions, or
// anywhere if there are none, may be sent to a zone. A restricted request goes to no
// zone of unknown region.
func (z Zones) Permits(allowed []core.Region, zone core.AvailabilityZone) bool {
	if len(allowed) == 0 {
		return true
	}
	region, known := z[zone]
	return known && slices.Contains(allowed, region)
}
