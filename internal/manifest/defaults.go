package manifest

import "kingcupcourse/internal/core"

// Default values of optional fields.
const (
	DefaultTiers             = 3
	DefaultMaxTier           = core.Tier(1)
	DefaultWeight            = 1.0
	DefaultQueueRequests     = 1024
	DefaultQueueTokens       = 4_000_000
	DefaultJournalSlots      = 256
	DefaultRetentionMS       = 3_600_000 // milliseconds
	DefaultClockSkewMS       = 5_000     // milliseconds
	DefaultProgressTimeoutMS = 2_000     // milliseconds
	DefaultPrefillRate       = 4_000.0   // tokens per second
	DefaultDecodeRate        = 40.0      // tokens per second
	DefaultDeadlineMS        = 60_000    // milliseconds
	DefaultOutputTokens      = 256
	DefaultMaxBodyBytes      = 1 << 20
	DefaultMaxShare          = 0.05
	DefaultSoakMS            = 30_000 // milliseconds
)

func (m *Manifest) setDefaults() {
	setDefault(&m.Tiers, DefaultTiers)
	for i := range m.ClientAccounts {
		m.setAccountDefaults(&m.ClientAccounts[i])
	}
	for i := range m.Pools {
		setPoolDefaults(&m.Pools[i])
	}
	for i := range m.Routes {
		m.setRouteDefaults(&m.Routes[i])
	}
	for i := range m.Moves {
		setDefault(&m.Moves[i].MaxShare, DefaultMaxShare)
		setDefault(&m.Moves[i].SoakMS, DefaultSoakMS)
	}
}

func (m *Manifest) setAccountDefaults(a *ClientAccount) {
	setDefault(&a.MaxTier, DefaultMaxTier)
	setDefault(&a.Weight, DefaultWeight)
	if len(m.Regions) > 0 {
		setDefault(&a.HomeRegion, m.Regions[0].Name)
	}
}

func setPoolDefaults(p *Pool) {
	setDefault(&p.QueueRequests, DefaultQueueRequests)
	setDefault(&p.QueueTokens, DefaultQueueTokens)
	setDefault(&p.JournalSlots, DefaultJournalSlots)
	setDefault(&p.RetentionMS, DefaultRetentionMS)
	setDefault(&p.ClockSkewMS, DefaultClockSkewMS)
	setDefault(&p.ProgressTimeoutMS, DefaultProgressTimeoutMS)
	for i := range p.Endpoints {
		setDefault(&p.Endpoints[i].PrefillRate, DefaultPrefillRate)
		setDefault(&p.Endpoints[i].DecodeRate, DefaultDecodeRate)
	}
}

func (m *Manifest) setRouteDefaults(r *Route) {
	setDefault(&r.Tier, core.Tier(m.Tiers))
	setDefault(&r.DeadlineMS, DefaultDeadlineMS)
	setDefault(&r.OutputTokens, DefaultOutputTokens)
	setDefault(&r.MaxBodyBytes, DefaultMaxBodyBytes)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
