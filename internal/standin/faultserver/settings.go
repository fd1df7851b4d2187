package faultserver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// ErrInvalidFault is returned for a fault patch that is not valid.
var ErrInvalidFault = errors.New("front: bad fault order")

// Settings are the faults to inject, as set over the admin API.
type Settings struct {
	// Down closes the listener and all connections and discards the state.
	Down bool `json:"down"`
	// SlowFactor multiplies the processing time of every request.
	SlowFactor float64 `json:"slow_factor"`
	// Freeze accepts connections but answers nothing until it is unset.
	Freeze bool `json:"freeze"`
	// SilentConnections silences the connections that are open when it is
	// set. Connections accepted later are not affected.
	SilentConnections bool `json:"silent_connections"`
	// ErrorRate is the fraction of the requests, 0 to 1, that gets status 500.
	ErrorRate float64 `json:"error_rate"`
	// ErrorRoute limits ErrorRate to paths with this prefix. Empty means all
	// paths except load reports, cache events, orders and health checks.
	ErrorRoute string `json:"error_route"`
	// WrongRate is the fraction of the client requests, 0 to 1, that gets a
	// wrong response.
	WrongRate float64 `json:"wrong_rate"`
	// CutStreams is how many of the next streams are cut off halfway.
	CutStreams int `json:"cut_streams"`
	// CrashOn is a substring of a prompt or body that crashes the stand-in.
	CrashOn string `json:"crash_on"`
	// FailAfterUnixMS is the time, in Unix milliseconds, from which all
	// client requests fail. Zero means never.
	FailAfterUnixMS int64 `json:"fail_after_unix_ms"`
	// FailAboveRunning is the number of running requests at which new ones
	// fail. Zero means no limit.
	FailAboveRunning int `json:"fail_above_running"`
}

// merge returns the settings with a JSON patch applied. Fields that are absent
// from the patch stay unchanged, except SilentConnections, which is cleared. It
// returns ErrInvalidFault if the patch is not valid.
func (s Settings) merge(patch []byte) (Settings, error) {
	s.SilentConnections = false
	decoder := json.NewDecoder(bytes.NewReader(patch))
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

// errorRateApplies reports whether ErrorRate applies to the path.
func (s Settings) errorRateApplies(path string) bool {
	if s.ErrorRoute == "" {
		return isDataPlane(path)
	}
	return strings.HasPrefix(path, s.ErrorRoute)
}

// isDataPlane reports whether the path is for client requests, and not for load
// reports, cache events, orders or health checks.
func isDataPlane(path string) bool {
	switch path {
	case "/healthz", "/v1/load", "/v1/cache_events", "/v1/orders":
		return false
	}
	return true
}
