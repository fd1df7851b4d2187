package admission

import (
	"testing"

	"kingcupcourse/internal/gateway/fleet"
)

// Guards against requests that are refused while the limits are divided anew: the
// division in use changes once all coordinators of the next one are known.
func TestDivisionChangesOnceAllCoordinatorsAreKnown(t *testing.T) {
	var c coordinators
	if _, _, ok := c.of("a"); ok || c.known() {
		t.Fatal("a coordinator is known before the first report")
	}
	expect := func(when string, shards int, addresses ...string) {
		t.Helper()
		for _, account := range []string{"a", "b", "c", "d", "e", "f"} {
			shard, address, ok := c.of(account)
			if !ok || shard.Shards != shards || !shard.Holds(account) || address != addresses[shard.Shard] {
				t.Errorf("%s: account %s is in %+v of %q, known %v", when, account, shard, address, ok)
			}
		}
	}
	c.set(fleet.LimitShard{Shard: 0, Shards: 1}, "old")
	expect("with one shard", 1, "old")
	c.set(fleet.LimitShard{Shard: 1, Shards: 2}, "second")
	c.set(fleet.LimitShard{Shard: 0, Shards: 1}, "newer")
	expect("with one of two coordinators", 1, "newer")
	c.set(fleet.LimitShard{Shard: 0, Shards: 2}, "first")
	expect("with both coordinators", 2, "first", "second")
	c.set(fleet.LimitShard{Shard: 0, Shards: 1}, "old")
	expect("after the fleet has shrunk", 1, "old")
}

// Guards against requests that are refused for a report period after a start: the
// coordinators of other shards may be known before that of the first one.
func TestFirstDivisionKeepsTheCoordinatorsKnownBefore(t *testing.T) {
	var c coordinators
	c.set(fleet.LimitShard{Shard: 2, Shards: 3}, "third")
	if c.known() {
		t.Error("the division is used before its first coordinator is known")
	}
	c.set(fleet.LimitShard{Shard: 0, Shards: 3}, "first")
	c.set(fleet.LimitShard{Shard: 1, Shards: 3}, "second")
	for _, account := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		shard, address, ok := c.of(account)
		if want := []string{"first", "second", "third"}[shard.Shard]; !ok || shard.Shards != 3 || address != want {
			t.Errorf("account %s is in %+v of %q, known %v, want %q", account, shard, address, ok, want)
		}
	}
}
