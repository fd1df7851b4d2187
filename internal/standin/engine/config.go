package engine

import "time"

// Config tells how a stand-in engine is made. A zero takes the default
// named; where none is named, zero is meant.
type Config struct {
	Name             string `json:"name" help:"Name in the admin paths." default:"engine"`
	Address          string `json:"address" help:"Host and port to serve." default:"127.0.0.1:20100"`
	AvailabilityZone string `json:"availability_zone" help:"Availability zone, told in the stats."`
	// Version is the model version that is loaded at the start. Default "v1".
	Version string `json:"version" help:"Model version at the start (default v1)."`
	// Slots is how many requests run at once. Default 8.
	Slots int `json:"slots" help:"Requests that run at once (default 8)."`
	// PrefillTokensPerSecond is the prefill speed of the engine. Default 4000.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second" help:"Prefill speed, tokens/s (default 4000)."`
	// DecodeTokensPerSecond is the speed of one request that runs alone.
	// Default 50.
	DecodeTokensPerSecond float64 `json:"decode_tokens_per_second" help:"Decode speed of one request alone, tokens/s (default 50)."`
	// StepSlowdown is the part by which each further running request makes
	// a step longer.
	StepSlowdown float64 `json:"step_slowdown" help:"Part by which each further running request lengthens a step."`
	// CacheTokens is the cache memory. Default 65536.
	CacheTokens int `json:"cache_tokens" help:"Cache memory, tokens (default 65536)."`
	// MaxWaiting is how many requests may wait for a slot. Default 4096.
	MaxWaiting int `json:"max_waiting" help:"Requests that may wait for a slot (default 4096)."`
	// LoadLagMS is how old the load report is, in milliseconds.
	LoadLagMS int64 `json:"load_lag_ms" help:"Age of the load report, ms."`
	// CacheEventLagMS is how late cache events are seen, in milliseconds.
	CacheEventLagMS int64 `json:"cache_event_lag_ms" help:"Delay of cache events, ms."`
	// CacheEventGapRate is the part of the cache events that is never seen.
	CacheEventGapRate float64 `json:"cache_event_gap_rate" help:"Part of the cache events that is lost, 0 to 1."`
	// CheckFence refuses orders below the highest fencing number seen.
	CheckFence bool `json:"check_fence" help:"Refuse orders with an outdated fencing number."`
	// LoadTimeMS is how long a version takes to load, in milliseconds.
	LoadTimeMS int64 `json:"load_time_ms" help:"Time to load a version, ms."`
	// RestartMS is how long the engine is gone after a crash, in
	// milliseconds. Default 1000.
	RestartMS int64 `json:"restart_ms" help:"Time to start again after a crash, ms (default 1000)."`
	// RunRetentionMS is how long a finished run can be resumed, in
	// milliseconds. Default 60000.
	RunRetentionMS int64 `json:"run_retention_ms" help:"Time that a finished run can be resumed, ms (default 60000)."`
	// Seed fixes the random choices.
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

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
