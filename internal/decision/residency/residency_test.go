package residency

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"kingcupcourse/internal/core"
)

// A request may be processed in exactly those regions that both its route and its
// account allow. If it is refused, there is none.
func TestBothRestrictionsBind(t *testing.T) {
	all := []core.Region{"r", "s", "t"}
	zones := Zones{"r-a": "r", "r-b": "r", "s-a": "s", "t-a": "t"}
	rapid.Check(t, func(t *rapid.T) {
		subset := rapid.SliceOfDistinct(rapid.SampledFrom(all), func(r core.Region) core.Region { return r })
		route, account := subset.Draw(t, "route"), subset.Draw(t, "account")
		permits := func(region core.Region) bool {
			return (len(route) == 0 || slices.Contains(route, region)) && (len(account) == 0 || slices.Contains(account, region))
		}
		allowed, ok := Allowed(route, account)
		if ok != slices.ContainsFunc(all, permits) {
			t.Fatalf("route %v, account %v: allowed %v, %v", route, account, allowed, ok)
		}
		if !ok {
			return
		}
		for zone, region := range zones {
			if zones.Permits(allowed, zone) != permits(region) {
				t.Errorf("route %v, account %v: zone %s permitted: %v", route, account, zone, !permits(region))
			}
		}
	})
}

// An endpoint in a zone that the settings do not name may be anywhere.
func TestZoneOfUnknownRegionGetsNoRestrictedRequests(t *testing.T) {
	zones := Zones{"r-a": "r"}
	if zones.Permits([]core.Region{"r"}, "x") || zones.Permits([]core.Region{""}, "x") || Zones(nil).Permits([]core.Region{"r"}, "r-a") {
		t.Error("a restricted request may go to a zone of unknown region")
	}
	if !zones.Permits(nil, "x") || !Zones(nil).Permits(nil, "x") {
		t.Error("an unrestricted request may not go to a zone of unknown region")
	}
}
