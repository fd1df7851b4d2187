package ledger

import "time"

// Config configures a stand-in ledger. Zero selects the default where one is
// given.
type Config struct {
	Name             string `json:"name" help:"Name in the admin paths." default:"ledger"`
	Address          string `json:"address" help:"Host and port to serve." default:"127.0.0.1:20200"`
	AvailabilityZone string `json:"availability_zone" help:"Availability zone, told in the stats."`
	// Version is the version that is loaded at the start. The default is "v1".
	Version string `json:"version" help:"Version at the start (default v1)."`
	// ServiceTimeMS is the processing time of a request, in milliseconds.
	ServiceTimeMS int64 `json:"service_time_ms" help:"Time that one request takes, ms."`
	// Concurrency is the number of requests that run at once. The default is 8.
	Concurrency int `json:"concurrency" help:"Requests that run at once (default 8)."`
	// MaxWaiting is the number of requests that may wait. The default is 4096.
	MaxWaiting int `json:"max_waiting" help:"Requests that may wait (default 4096)."`
	// CheckFence rejects orders below the highest fencing number accepted.
	CheckFence bool `json:"check_fence" help:"Refuse orders with an outdated fencing number."`
	// LoadTimeMS is the time to load a version, in milliseconds.
	LoadTimeMS int64 `json:"load_time_ms" help:"Time to load a version, ms."`
	// RestartMS is the downtime after a crash, in milliseconds. The default
	// is 1000.
	RestartMS int64 `json:"restart_ms" help:"Time to start again after a crash, ms (default 1000)."`
	// Seed makes the random choices reproducible.
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
