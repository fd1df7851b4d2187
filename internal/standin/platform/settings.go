package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// ErrInvalidFault is returned for a fault order that is not valid.
var ErrInvalidFault = errors.New("platform: bad fault order")

// Config tells how a stand-in platform is made.
type Config struct {
	Name    string `json:"name" help:"Name in the admin paths." default:"platform"`
	Address string `json:"address" help:"Host and port to serve." default:"127.0.0.1:20000"`
	// Objects are there from the start.
	Objects []Object `json:"objects" kong:"-"`
}

// Object is a value to start with: either Value, or the content of File.
type Object struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
	File  string          `json:"file,omitempty"`
}

// Settings are the faults of the platform.
type Settings struct {
	// Outage answers every call 503.
	Outage bool `json:"outage"`
	// DelayMS is how late, in milliseconds, answers come.
	DelayMS int64 `json:"delay_ms"`
	// DropResponses is how many of the next writes take effect unanswered.
	DropResponses int `json:"lose_answers"`
	// StaleReads answers reads from the state as it was when this was set.
	StaleReads bool `json:"stale_reads"`
	// WritesPerSecond limits the writes. Zero means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	// ReadsPerSecond limits the reads and watches. Zero means no limit.
	ReadsPerSecond float64 `json:"reads_per_second"`
}

func (s Settings) delay() time.Duration { return time.Duration(s.DelayMS) * time.Millisecond }

// merge returns the settings changed by a JSON order. Fields that the order
// does not have stay. It returns ErrBadFault for an order that is not valid.
func (s Settings) merge(order []byte) (Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(order))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrInvalidFault, err)
	}
	if s.WritesPerSecond < 0 || s.ReadsPerSecond < 0 || s.DelayMS < 0 || s.DropResponses < 0 {
		return s, fmt.Errorf("%w: a number is below 0", ErrInvalidFault)
	}
	return s, nil
}

// Stats counts what the platform was asked.
type Stats struct {
	Writes    int `json:"writes"`
	Reads     int `json:"reads"`
	Watches   int `json:"watches"`
	Conflicts int `json:"conflicts"`
	// Limited counts the calls that were answered 429.
	Limited int `json:"limited"`
}
