package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// ErrInvalidFault is returned for a fault patch that is not valid.
var ErrInvalidFault = errors.New("platform: bad fault order")

// Config configures a stand-in platform.
type Config struct {
	Name    string `json:"name" help:"Name in the admin paths." default:"platform"`
	Address string `json:"address" help:"Host and port to serve." default:"127.0.0.1:20000"`
	// Objects exist from the start.
	Objects []Object `json:"objects" kong:"-"`
}

// Object is an initial object. Its value is Value or the content of File.
type Object struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
	File  string          `json:"file,omitempty"`
}

// Settings are the faults to inject.
type Settings struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage"`
	// DelayMS is the delay of every response, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// DropResponses is how many of the next writes take effect without a
	// response.
	DropResponses int `json:"lose_answers"`
	// StaleReads serves reads from the state at the time when it was set.
	StaleReads bool `json:"stale_reads"`
	// WritesPerSecond limits the write rate. Zero means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	// ReadsPerSecond limits the rate of reads and watches. Zero means no
	// limit.
	ReadsPerSecond float64 `json:"reads_per_second"`
}

func (s Settings) delay() time.Duration { return time.Duration(s.DelayMS) * time.Millisecond }

// merge returns the settings with a JSON patch applied. Fields that are absent
// from the patch stay unchanged. It returns ErrInvalidFault if the patch is not
// valid.
func (s Settings) merge(patch []byte) (Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(patch))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrInvalidFault, err)
	}
	if s.WritesPerSecond < 0 || s.ReadsPerSecond < 0 || s.DelayMS < 0 || s.DropResponses < 0 {
		return s, fmt.Errorf("%w: a number is below 0", ErrInvalidFault)
	}
	return s, nil
}

// Stats counts the calls to the platform.
type Stats struct {
	Writes    int `json:"writes"`
	Reads     int `json:"reads"`
	Watches   int `json:"watches"`
	Conflicts int `json:"conflicts"`
	// Limited counts the calls that were answered with status 429.
	Limited int `json:"limited"`
}
