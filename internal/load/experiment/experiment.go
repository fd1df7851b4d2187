// Package experiment defines the file format of a load experiment: the
// classes of requests and their rates, the faults to inject, and the seed.
package experiment

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/findings"
)

// Experiment describes one run of the load tool.
type Experiment struct {
	Name string `json:"name"`
	// Seed determines arrival times, sizes and the choice of entry hosts.
	Seed uint64 `json:"seed"`
	// DurationMS is how long requests arrive, in milliseconds.
	DurationMS int64 `json:"duration_ms"`
	// EntryURLs are the base URLs of the entry hosts.
	EntryURLs []string `json:"entries"`
	// StandInURL is the base URL of the stand-ins' admin listener. If it is
	// empty, prefill and runs are not reported.
	StandInURL string `json:"stand_ins,omitempty"`
	// Engines and Ledgers name the stand-ins whose counters are reported.
	Engines []string `json:"engines,omitempty"`
	Ledgers []string `json:"ledgers,omitempty"`
	// MaxInFlight is the number of simulated callers. A request that finds
	// no idle caller is sent late and counted as such, never dropped.
	// Default 1,024.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// LoadFactor multiplies every class's rate. Default 1.
	LoadFactor float64 `json:"load_factor,omitempty"`
	// OnlyTier limits the run to the classes of one tier; zero for all.
	OnlyTier core.Tier `json:"only_tier,omitempty"`
	Classes  []Class   `json:"classes"`
	Faults   []Fault   `json:"faults,omitempty"`
}

// Class is a kind of request that arrives as a Poisson process.
type Class struct {
	Name    string `json:"name"`
	Account string `json:"account"`
	// APIKey is the account's bearer token.
	APIKey string `json:"key"`
	Pool   string `json:"pool"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Model is the model of a completions request; empty for a plain
	// service.
	Model string    `json:"model,omitempty"`
	Tier  core.Tier `json:"tier"`
	// Rate is the mean number of arrivals per second.
	Rate float64 `json:"rate"`
	// Burst periodically multiplies the rate.
	Burst *Burst `json:"burst,omitempty"`
	// PromptTokens and OutputTokens are the sizes of a completions request.
	PromptTokens SizeDistribution `json:"prompt_tokens,omitempty"`
	OutputTokens SizeDistribution `json:"output_tokens,omitempty"`
	// SharedPrefixes is the number of different prefixes that the prompts
	// share, PrefixTokens the length of each in tokens.
	SharedPrefixes int `json:"shared_prefixes,omitempty"`
	PrefixTokens   int `json:"prefix_tokens,omitempty"`
	// DeadlineMS is the time allowed for the complete response, in
	// milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	Stream     bool  `json:"stream,omitempty"`
	// RunOnce sends an Idempotency-Key.
	RunOnce bool `json:"run_once,omitempty"`
	// ResendRate is the fraction of run-once requests that the caller sends
	// twice, the second time through an entry host drawn anew.
	ResendRate float64 `json:"resend_rate,omitempty"`
}

// Burst multiplies the rate by Factor for the first LengthMS of every period
// of EveryMS, both in milliseconds.
type Burst struct {
	EveryMS  int64   `json:"every_ms"`
	LengthMS int64   `json:"length_ms"`
	Factor   float64 `json:"factor"`
}

// SizeDistribution is a log-normal distribution, truncated at Max.
type SizeDistribution struct {
	Median int     `json:"median"`
	Sigma  float64 `json:"sigma"`
	Max    int     `json:"max"`
}

// Fault is a fault injected at a time after the start of the run: StandIn
// with Set, PIDFile with Signal, or KillURL.
type Fault struct {
	AtMS int64 `json:"at_ms"`
	// StandIn names the stand-in whose fault control is called, Set is the
	// body of the call.
	StandIn string          `json:"stand_in,omitempty"`
	Set     json.RawMessage `json:"set,omitempty"`
	// PIDFile is the path of a file with a process id. Signal is KILL, TERM,
	// STOP or CONT.
	PIDFile string `json:"pid_file,omitempty"`
	Signal  string `json:"signal,omitempty"`
	// KillURL is the fault injection URL of a process, called with POST.
	KillURL string `json:"kill_url,omitempty"`
}

const (
	defaultMaxInFlight = 1024
	maxFileBytes       = 1 << 20
)

// Load reads an experiment file. It returns a findings.List with all problems
// of the file, or another error if the file cannot be opened.
func Load(path string) (*Experiment, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open experiment")
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(io.LimitReader(file, maxFileBytes))
	decoder.DisallowUnknownFields()
	var e Experiment
	if err := decoder.Decode(&e); err != nil {
		return nil, findings.List{{Location: path, Message: err.Error()}}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, findings.List{{Location: path, Message: "more than one JSON value"}}
	}
	e.setDefaults()
	return &e, e.validate(path).Err()
}

func (e *Experiment) setDefaults() {
	if e.MaxInFlight == 0 {
		e.MaxInFlight = defaultMaxInFlight
	}
	if e.LoadFactor == 0 {
		e.LoadFactor = 1
	}
}

func (e *Experiment) validate(path string) findings.List {
	var problems findings.List
	if e.DurationMS <= 0 {
		problems.Add(path+": duration_ms", "must be positive")
	}
	if len(e.EntryURLs) == 0 {
		problems.Add(path+": entries", "must name at least one entry host")
	}
	if len(e.Classes) == 0 {
		problems.Add(path+": classes", "must have at least one class")
	}
	for _, c := range e.Classes {
		c.validate(path+": classes["+c.Name+"]", &problems)
	}
	for _, f := range e.Faults {
		if f.Signal != "" && !slices.Contains([]string{"KILL", "TERM", "STOP", "CONT"}, f.Signal) {
			problems.Add(path+": faults", "unknown signal %q", f.Signal)
		}
	}
	return problems
}

func (c *Class) validate(path string, problems *findings.List) {
	if c.Rate <= 0 {
		problems.Add(path+".rate", "must be positive")
	}
	if c.DeadlineMS <= 0 {
		problems.Add(path+".deadline_ms", "must be positive")
	}
	if c.Model != "" && (c.PromptTokens.Median <= 0 || c.OutputTokens.Median <= 0) {
		problems.Add(path, "a completions class needs prompt_tokens and output_tokens")
	}
	if b := c.Burst; b != nil && (b.EveryMS <= 0 || b.LengthMS <= 0 || b.Factor <= 0) {
		problems.Add(path+".burst", "every_ms, length_ms and factor must be positive")
	}
}
