package crash

import (
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/catalog"
)

func endpoint(name, address string, startedAt int64, draining bool) catalog.Endpoint {
	return catalog.Endpoint{Endpoint: core.Endpoint{Name: name, Address: address}, StartedAt: time.UnixMilli(startedAt), Draining: draining}
}

func TestLaterRunAtTheAddressShowsThatAnEndpointHasEnded(t *testing.T) {
	lost := endpoint("e", "a:1", 100, false)
	for _, tt := range []struct {
		name    string
		present []catalog.Endpoint
		want    Verdict
	}{
		{"no entry", nil, Unknown},
		{"the same run", []catalog.Endpoint{lost}, Unknown},
		{"a later run under its name", []catalog.Endpoint{endpoint("e", "a:1", 200, false)}, Ended},
		{"a later run under another name", []catalog.Endpoint{lost, endpoint("f", "a:1", 200, false)}, Ended},
		{"an earlier run that is still listed", []catalog.Endpoint{endpoint("d", "a:1", 50, false)}, Unknown},
		{"a later run elsewhere", []catalog.Endpoint{endpoint("f", "a:2", 200, false)}, Unknown},
		{"leaving", []catalog.Endpoint{endpoint("e", "a:1", 100, true)}, Leaving},
	} {
		if got := Judge(lost, tt.present); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
