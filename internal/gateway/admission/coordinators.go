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

// set records the coordinator of a shard. The first division is used as soon as the
// coordinator of its first shard is known.
func (c *coordinators) set(shard fleet.LimitShard, address string) {
	if c.shards == shard.Shards {
		c.addresses[shard.Shard] = address
		return
	}
	if c.nextShards != shard.Shards {
		c.nextShards, c.next = shard.Shards, map[int]string{}
	}
	c.next[shard.Shard] = address
	if isFirst := c.shards == 0 && shard.Shard == 0; isFirst || len(c.next) == c.nextShards {
		c.shards, c.addresses, c.nextShards, c.next = c.nextShards, c.next, 0, nil
	}
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
