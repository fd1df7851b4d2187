package faultproxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// ErrInvalidFault is returned for a fault order that is not valid.
var ErrInvalidFault = errors.New("faultproxy: bad fault order")

// Config tells how a fault proxy is made.
type Config struct {
	Name    string `json:"name" help:"Name in the admin paths." default:"proxy"`
	Address string `json:"address" help:"Host and port to serve." default:"127.0.0.1:20300"`
	// Target is the host and port that connections are passed on to.
	Target string `json:"target" help:"Host and port to pass connections on to."`
}

// Settings are the faults of a proxy.
type Settings struct {
	// Cut closes the connections open now, and new ones as they come.
	Cut bool `json:"cut"`
	// DelayMS is how late, in milliseconds, what was read is passed on.
	DelayMS int64 `json:"delay_ms"`
	// BlackHole silences, once, the connections open at the time.
	BlackHole bool `json:"black_hole"`
	// HalfClose ends, once, what the callers of the connections open at the
	// time can read, but not what they can write.
	HalfClose bool `json:"half_close"`
	// Refuse closes the listener.
	Refuse bool `json:"refuse"`
}

// merge returns the settings changed by a JSON order. Fields that the order
// does not have stay. It returns ErrBadFault for an order that is not valid.
func (s Settings) merge(order []byte) (Settings, error) {
	s.BlackHole, s.HalfClose = false, false
	decoder := json.NewDecoder(bytes.NewReader(order))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrInvalidFault, err)
	}
	if s.DelayMS < 0 {
		return s, fmt.Errorf("%w: delay_ms is below 0", ErrInvalidFault)
	}
	return s, nil
}

func (s Settings) delay() time.Duration { return time.Duration(s.DelayMS) * time.Millisecond }

// Stats counts what went through the proxy.
type Stats struct {
	Connections int   `json:"connections"`
	Open        int   `json:"open"`
	Bytes       int64 `json:"bytes"`
}
