package callers

import "kingcupcourse/internal/message"

// recordEndpointDeath tells all processes that an endpoint died under this request.
func (c *call) recordEndpointDeath(endpoint string) {
	c.endpointDeaths++
	poisonMarksTotal.Inc()
	c.h.PublishFact(message.Fact{Kind: message.FactPoison, Key: c.fingerprint + "/" + endpoint})
}

// publishDraining tells all processes that an endpoint is leaving.
func (c *call) publishDraining(endpoint string) {
	c.h.PublishFact(message.Fact{Kind: message.FactDraining, Key: endpoint})
}
