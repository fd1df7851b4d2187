package engine

import "time"

// Config configures a stand-in engine. Zero selects the default where one is
// given.
type Config struct {
	Name             string `json:"name" help:"Name in the admin paths." default:"engine"`
	Address          string `json:"address" help:"Host and port to serve." default:"127.0.0.1:20100"`
	AvailabilityZone string `json:"availability_zone" help:"Availability zone, told in the stats."`
	// Version is the model version that is loaded at the start. The default
	// is "v1".
	Version string `json:"version" help:"Model version at the start (default v1)."`
	// Slots is the number of requests that run at once. The default is 8.
	Slots int `json:"slots" help:"Requests that run at once (default 8)."`
	// PrefillTokensPerSecond is the prefill speed. The default is 4000.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second" help:"Prefill speed, tokens/s (default 4000)."`
	// DecodeTokensPerSecond is the decode speed of a request that runs alone.
	// The default is 50.
	DecodeTokensPerSecond float64 `json:"decode_tokens_per_second" help:"Decode speed of one request alone, tokens/s (default 50)."`
	// StepSlowdown is the fraction by which each additional running request
	// lengthens a decode step.
	StepSlowdown float64 `json:"step_slowdown" help:"Part by which each further running request lengthens a step."`
	// CacheTokens is the cache memory, in tokens. The default is 65536.
	CacheTokens int `json:"cache_tokens" help:"Cache memory, tokens (default 65536)."`
	// MaxWaiting is the number of requests that may wait for a slot. The
	// default is 4096.
	MaxWaiting int `json:"max_waiting" help:"Requests that may wait for a slot (default 4096)."`
	// LoadLagMS is the age of the load report, in milliseconds.
	LoadLagMS int64 `json:"load_lag_ms" help:"Age of the load report, ms."`
	// CacheEventLagMS is the delay of cache events, in milliseconds.
	CacheEventLagMS int64 `json:"cache_event_lag_ms" help:"Delay of cache events, ms."`
	// CacheEventGapRate is the fraction of cache events that is dropped.
	CacheEventGapRate float64 `json:"cache_event_gap_rate" help:"Part of the cache events that is lost, 0 to 1."`
	// CheckFence rejects orders below the highest fencing number accepted.
	CheckFence bool `json:"check_fence" help:"Refuse orders with an outdated fencing number."`
	// LoadTimeMS is the time to load a version, in milliseconds.
	LoadTimeMS int64 `json:"load_time_ms" help:"Time to load a version, ms."`
	// RestartMS is the downtime after a crash, in milliseconds. The default
	// is 1000.
	RestartMS int64 `json:"restart_ms" help:"Time to start again after a crash, ms (default 1000)."`
	// RunRetentionMS is the time that a finished run can be resumed, in
	// milliseconds. The default is 60000.
	RunRetentionMS int64 `json:"run_retention_ms" help:"Time that a finished run can be resumed, ms (default 60000)."`
	// Seed makes the random choices reproducible.
	Seed uint64 `json:"seed" help:"Seed of the random choices."`
}

const (
	defaultVersion        = "v1"
	defaultSlots          = 8
	defaultPrefillRate    = 4000
	defaultDecodeRate     = 50
	defaultCacheTokens    = 65536
	defaultMaxWaiting     = 4096
	defaultRestartMS      = 1000
	defaultRunRetentionMS = 60_000
)

func (c Config) withDefaults() Config {
	setDefault(&c.Version, defaultVersion)
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.PrefillTokensPerSecond, defaultPrefillRate)
	setDefault(&c.DecodeTokensPerSecond, defaultDecodeRate)
	setDefault(&c.CacheTokens, defaultCacheTokens)
	setDefault(&c.MaxWaiting, defaultMaxWaiting)
	setDefault(&c.RestartMS, defaultRestartMS)
	setDefault(&c.RunRetentionMS, defaultRunRetentionMS)
	return c
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
