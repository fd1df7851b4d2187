package faultproxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// ErrInvalidFault is returned for a fault patch that is not valid.
var ErrInvalidFault = errors.New("faultproxy: bad fault order")

// Config configures a fault proxy.
type Config struct {
	Name    string `json:"name" help:"Name in the admin paths." default:"proxy"`
	Address string `json:"address" help:"Host and port to serve." default:"127.0.0.1:20300"`
	// Target is the host and port that connections are forwarded to.
	Target string `json:"target" help:"Host and port to pass connections on to."`
}

// Settings are the faults to inject.
type Settings struct {
	// Cut closes the open connections, and new ones when they arrive.
	Cut bool `json:"cut"`
	// DelayMS is the delay of each forwarded chunk, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// BlackHole silences the connections that are open when it is set.
	// Connections accepted later are not affected.
	BlackHole bool `json:"black_hole"`
	// HalfClose closes the direction to the client on the connections that
	// are open when it is set. The client can still write.
	HalfClose bool `json:"half_close"`
	// Refuse closes the listener.
	Refuse bool `json:"refuse"`
}

// merge returns the settings with a JSON patch applied. Fields that are absent
// from the patch stay unchanged, except BlackHole and HalfClose, which are
// cleared. It returns ErrInvalidFault if the patch is not valid.
func (s Settings) merge(patch []byte) (Settings, error) {
	s.BlackHole, s.HalfClose = false, false
	decoder := json.NewDecoder(bytes.NewReader(patch))
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

// Stats counts the connections and bytes through the proxy.
type Stats struct {
	Connections int   `json:"connections"`
	Open        int   `json:"open"`
	Bytes       int64 `json:"bytes"`
}
