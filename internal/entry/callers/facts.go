package callers

import "kingcupcourse/internal/message"

// recordEndpointDeath counts a death of the endpoint during this request and
// publishes a poison mark to all processes.
func (c *call) recordEndpointDeath(endpoint string) {
	c.endpointDeaths++
	poisonMarksTotal.Inc()
	c.h.PublishFact(message.Fact{Kind: message.FactPoison, Key: c.fingerprint + "/" + endpoint})
}

// publishDraining tells all processes that an endpoint is draining.
func (c *call) publishDraining(endpoint string) {
	c.h.PublishFact(message.Fact{Kind: message.FactDraining, Key: endpoint})
}
