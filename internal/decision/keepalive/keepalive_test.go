package keepalive

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestJudge(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for name, test := range map[string]struct {
		idle, stated time.Duration
		endpoint     Endpoint
		repeatable   bool
		want         Verdict
	}{
		"fresh":                          {idle: 0, stated: 5 * s, want: Usable},
		"within the stated timeout":      {idle: 2900 * ms, stated: 5 * s, want: Usable},
		"near the stated timeout":        {idle: 1300 * ms, stated: 2 * s, want: Expired},
		"short stated timeout":           {idle: 700 * ms, stated: 1 * s, repeatable: true, want: Expired},
		"too old for a run-once request": {idle: 5100 * ms, stated: 60 * s, want: TooOldForOnce},
		"old, repeatable":                {idle: 5100 * ms, stated: 60 * s, repeatable: true, want: Usable},
		"too old for any":                {idle: 8 * s, stated: 60 * s, repeatable: true, want: Expired},
		"no timeout stated":              {idle: 1600 * ms, repeatable: true, want: Expired},
		"clock went back":                {idle: -1, stated: 5 * s, repeatable: true, want: Expired},
		"another incarnation":            {idle: 0, stated: 5 * s, endpoint: Endpoint{Incarnation: start}, want: Restarted},
		"fault since":                    {idle: 10 * ms, stated: 5 * s, endpoint: Endpoint{FaultAt: start.Add(-5 * ms)}, repeatable: true, want: AfterFault},
		"fault before":                   {idle: 10 * ms, stated: 5 * s, endpoint: Endpoint{FaultAt: start.Add(-15 * ms)}, want: Usable},
		"silent endpoint":                {stated: 5 * s, endpoint: Endpoint{WaitingSince: start.Add(-300 * ms)}, repeatable: true, want: Silent},
		"waiting for a moment":           {stated: 5 * s, endpoint: Endpoint{WaitingSince: start.Add(-200 * ms)}, want: Usable},
		"closed sooner than stated":      {idle: 500 * ms, stated: 5 * s, endpoint: Endpoint{ShortestClose: 900 * ms}, want: Expired},
	} {
		t.Run(name, func(t *testing.T) {
			c := Connection{IdleSince: start.Add(-test.idle), Stated: test.stated}
			if got := Judge(c, test.endpoint, test.repeatable, start); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// All hosts together keep at most half of an endpoint's connections idle, as long
// as there are enough for one a host.
func TestCapacityHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections, hosts := rapid.IntRange(1, 2000).Draw(t, "connections"), rapid.IntRange(1, 500).Draw(t, "hosts")
		each := Capacity(connections, hosts)
		if each < 1 || each > maxIdlePerEndpoint {
			t.Fatalf("%d connections a host", each)
		}
		if total := each * hosts; each > 1 && 2*total > connections {
			t.Fatalf("%d of %d connections", total, connections)
		}
	})
	if Capacity(0, 10) != maxIdlePerEndpoint || Capacity(100, 0) != maxIdlePerEndpoint {
		t.Error("no limit stated")
	}
}

// A connection that may carry a request that may not be repeated may carry any.
func TestOnceIsStricter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, name))
		}
		c := Connection{IdleSince: start.Add(-draw("idle")), Stated: draw("stated")}
		e := Endpoint{ShortestClose: draw("observed")}
		if Judge(c, e, false, start) != Usable {
			return
		}
		idle := start.Sub(c.IdleSince)
		if Judge(c, e, true, start) != Usable || c.Stated > 0 && idle >= c.Stated || e.ShortestClose > 0 && idle >= e.ShortestClose {
			t.Fatalf("%+v %+v", c, e)
		}
	})
}
