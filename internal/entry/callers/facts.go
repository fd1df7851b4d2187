package callers

import (
	"time"

	"kingcupcourse/internal/message"
)

const (
	// poisonLife is how long a poison mark counts.
	poisonLife = 10 * time.Minute
	// leavingLife is how long an endpoint that refused because it is leaving
	// gets no new work; by then the platform's list names it.
	leavingLife = 10 * time.Minute
)

// markPoison tells all processes that an endpoint died under this request.
func (c *call) markPoison(endpoint string) {
	poisonMarksTotal.Inc()
	c.tellFact(message.FactPoison, c.fingerprint+"/"+endpoint, poisonLife)
}

// tellLeaving tells all processes that an endpoint is leaving.
func (c *call) tellLeaving(endpoint string) {
	c.tellFact(message.FactLeaving, endpoint, leavingLife)
}

func (c *call) tellFact(kind message.FactKind, key string, life time.Duration) {
	now := time.Now()
	c.h.Tell(message.Fact{
		Kind: kind, Key: key, Rank: uint64(now.UnixMilli()), ExpiresUnixMS: now.Add(life).UnixMilli(),
	})
}
