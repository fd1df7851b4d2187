package callers

import "kingcupcourse/internal/message"

// markPoison tells all processes that an endpoint died under this request.
func (c *call) markPoison(endpoint string) {
	c.deaths++
	poisonMarksTotal.Inc()
	c.h.Tell(message.Fact{Kind: message.FactPoison, Key: c.fingerprint + "/" + endpoint})
}

// tellLeaving tells all processes that an endpoint is leaving.
func (c *call) tellLeaving(endpoint string) {
	c.h.Tell(message.Fact{Kind: message.FactDraining, Key: endpoint})
}
