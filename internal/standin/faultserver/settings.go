package faultserver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// ErrInvalidFault is returned for a fault order that is not valid.
var ErrInvalidFault = errors.New("front: bad fault order")

// Settings are the faults of a stand-in, as the fault control sets them.
type Settings struct {
	// Down closes the listener, cuts the connections and loses the state.
	Down bool `json:"down"`
	// SlowFactor makes all work take that many times as long.
	SlowFactor float64 `json:"slow_factor"`
	// Freeze accepts connections and answers nothing until it is unset.
	Freeze bool `json:"freeze"`
	// SilentConnections silences, once, the connections open at the time.
	SilentConnections bool `json:"silent_connections"`
	// ErrorRate is the part of the requests, 0 to 1, that is answered 500.
	ErrorRate float64 `json:"error_rate"`
	// ErrorRoute limits ErrorRate to paths with this prefix. Empty means
	// all work, but not the reports, orders and health checks.
	ErrorRoute string `json:"error_route"`
	// WrongRate is the part of the work, 0 to 1, that is answered wrongly.
	WrongRate float64 `json:"wrong_rate"`
	// CutStreams is how many of the next streams are cut after half.
	CutStreams int `json:"cut_streams"`
	// CrashOn is a part of a prompt that crashes the stand-in.
	CrashOn string `json:"crash_on"`
	// FailAfterUnixMS is when all work begins to fail, in Unix
	// milliseconds. Zero means never.
	FailAfterUnixMS int64 `json:"fail_after_unix_ms"`
	// FailAboveRunning is how many requests may run before further ones
	// fail. Zero means any number.
	FailAboveRunning int `json:"fail_above_running"`
}

// merge returns the settings changed by a JSON order. Fields that the order
// does not have stay. It returns ErrBadFault for an order that is not valid.
func (s Settings) merge(order []byte) (Settings, error) {
	s.SilentConnections = false
	decoder := json.NewDecoder(bytes.NewReader(order))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrInvalidFault, err)
	}
	if s.SlowFactor <= 0 {
		return s, fmt.Errorf("%w: slow_factor must be above 0", ErrInvalidFault)
	}
	if s.ErrorRate < 0 || s.ErrorRate > 1 || s.WrongRate < 0 || s.WrongRate > 1 {
		return s, fmt.Errorf("%w: a rate must be from 0 to 1", ErrInvalidFault)
	}
	return s, nil
}

// errorRateApplies tells whether ErrorRate applies to the path.
func (s Settings) errorRateApplies(path string) bool {
	if s.ErrorRoute == "" {
		return isDataPlane(path)
	}
	return strings.HasPrefix(path, s.ErrorRoute)
}

// isDataPlane tells whether the path is work and not a report, order or check.
func isDataPlane(path string) bool {
	switch path {
	case "/healthz", "/v1/load", "/v1/cache_events", "/v1/orders":
		return false
	}
	return true
}
