package ledger

import "time"

// Config tells how a stand-in ledger is made. A zero takes the default
// named; where none is named, zero is meant.
type Config struct {
	Name             string `json:"name" help:"Name in the admin paths." default:"ledger"`
	Address          string `json:"address" help:"Host and port to serve." default:"127.0.0.1:20200"`
	AvailabilityZone string `json:"availability_zone" help:"Availability zone, told in the stats."`
	// Version is the version that is loaded at the start. Default "v1".
	Version string `json:"version" help:"Version at the start (default v1)."`
	// ServiceTimeMS is how long one request takes, in milliseconds.
	ServiceTimeMS int64 `json:"service_time_ms" help:"Time that one request takes, ms."`
	// Concurrency is how many requests run at once. Default 8.
	Concurrency int `json:"concurrency" help:"Requests that run at once (default 8)."`
	// MaxWaiting is how many requests may wait. Default 4096.
	MaxWaiting int `json:"max_waiting" help:"Requests that may wait (default 4096)."`
	// CheckFence refuses orders below the highest fencing number seen.
	CheckFence bool `json:"check_fence" help:"Refuse orders with an outdated fencing number."`
	// LoadTimeMS is how long a version takes to load, in milliseconds.
	LoadTimeMS int64 `json:"load_time_ms" help:"Time to load a version, ms."`
	// RestartMS is how long the ledger is gone after a crash, in
	// milliseconds. Default 1000.
	RestartMS int64 `json:"restart_ms" help:"Time to start again after a crash, ms (default 1000)."`
	// Seed fixes the random choices.
	Seed uint64 `json:"seed" help:"Seed of the random choices."`
}

const (
	defaultVersion     = "v1"
	defaultConcurrency = 8
	defaultMaxWaiting  = 4096
	defaultRestartMS   = 1000
)

func (c Config) withDefaults() Config {
	if c.Version == "" {
		c.Version = defaultVersion
	}
	if c.Concurrency == 0 {
		c.Concurrency = defaultConcurrency
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.RestartMS == 0 {
		c.RestartMS = defaultRestartMS
	}
	return c
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
