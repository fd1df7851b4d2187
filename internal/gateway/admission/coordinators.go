package admission

import "kingcupcourse/internal/gateway/fleet"

// coordinators holds the addresses of the hosts that keep the ledgers of the limits,
// empty for this host, by the shards of the division in use. The zero value is usable.
type coordinators struct {
	shards    int // of the division in use, zero if none is known
	addresses map[int]string
	// next holds those of another division. It is used once all of them are known, so
	// that a change of the division refuses no requests.
	nextShards int
	next       map[int]string
}

// set records the coordinator of a shard.
func (c *coordinators) set(shard fleet.LimitShard, address string) {
	switch {
	case c.shards == shard.Shards:
	case c.shards == 0 && shard.Shard == 0: // the other shards follow
		c.shards, c.addresses = shard.Shards, map[int]string{}
	default:
		if c.nextShards != shard.Shards {
			c.nextShards, c.next = shard.Shards, map[int]string{}
		}
		c.next[shard.Shard] = address
		if len(c.next) == c.nextShards {
			c.shards, c.addresses, c.nextShards, c.next = c.nextShards, c.next, 0, nil
		}
		return
	}
	c.addresses[shard.Shard] = address
}

// known reports whether the first shard's coordinator is known.
func (c *coordinators) known() bool { return c.shards > 0 }

// of returns the shard of an account's limit and its coordinator. It returns false if
// the coordinator is not known yet.
func (c *coordinators) of(account string) (shard fleet.LimitShard, address string, ok bool) {
	shard = fleet.LimitShard{Shard: fleet.ShardOfAccount(account, c.shards), Shards: c.shards}
	address, ok = c.addresses[shard.Shard]
	return shard, address, ok
}
