// Package estimate learns the speed of endpoints and the output lengths of
// responses from completed attempts.
package estimate

import (
	"time"

	"kingcupcourse/internal/core"
)

const (
	// DefaultPrefillRate is the initial estimate in prompt tokens per second.
	DefaultPrefillRate = 4000.0
	// DefaultDecodeRate is the initial estimate in tokens per second for one
	// running request.
	DefaultDecodeRate = 40.0
	// DefaultServiceTime is the initial estimate for one call of a plain
	// service.
	DefaultServiceTime = 50 * time.Millisecond
	// minPrefillTokens is the smallest number of uncached prompt tokens from
	// which a prefill rate is learned; with fewer, network latency dominates.
	minPrefillTokens = 64
	// minSamples is the number of samples, and maxSampleAge the age of the
	// newest, for an estimate to be fresh.
	minSamples   = 3
	maxSampleAge = 10 * time.Second
)

// Sample is the measurement of one completed attempt on an endpoint.
type Sample struct {
	// PrefillTokens is the number of prompt tokens without the cached prefix.
	PrefillTokens int
	OutputTokens  int
	// Concurrency is the number of attempts running on the endpoint.
	Concurrency int
	// FirstToken and Total are measured from the dispatch. BetweenTokens is the
	// mean time between two tokens.
	FirstToken, BetweenTokens, Total time.Duration
	EndedAt                          time.Time
}

// Speeds holds the speed estimates of each endpoint and version.
type Speeds struct {
	learned map[speedKey]*speed
}

type speedKey struct {
	endpoint string
	version  core.Version
}

type speed struct {
	firstToken firstTokenFit
	// secondsPerOutputToken is fitted to the number of running requests.
	secondsPerOutputToken linearFit
	secondsPerCall        ewma
	count                 int
	lastSampleAt          time.Time
}

// NewSpeeds returns a Speeds without samples.
func NewSpeeds() *Speeds { return &Speeds{learned: map[speedKey]*speed{}} }

// Observe adds the sample of a completed attempt on the endpoint.
func (s *Speeds) Observe(e core.Endpoint, v core.Version, sample Sample) {
	l := s.get(e, v)
	l.count++
	l.lastSampleAt = sample.EndedAt
	if sample.Total > 0 {
		l.secondsPerCall.add(sample.Total.Seconds())
	}
	if sample.PrefillTokens >= minPrefillTokens && sample.FirstToken > 0 {
		l.firstToken.add(float64(sample.PrefillTokens), sample.FirstToken.Seconds())
	}
	if sample.OutputTokens > 1 && sample.BetweenTokens > 0 {
		l.secondsPerOutputToken.add(float64(sample.Concurrency), sample.BetweenTokens.Seconds())
	}
}

// Fresh reports whether the estimate is based on enough recent samples rather
// than on the initial value.
func (s *Speeds) Fresh(e core.Endpoint, v core.Version, now time.Time) bool {
	l := s.get(e, v)
	return l.count >= minSamples && now.Sub(l.lastSampleAt) < maxSampleAge
}

// Prefill returns the time for which a prompt of the given number of tokens is
// expected to occupy the engine.
func (s *Speeds) Prefill(e core.Endpoint, v core.Version, tokens int) time.Duration {
	return seconds(s.get(e, v).firstToken.perToken() * float64(tokens))
}

// FirstToken returns the expected time from the start of the prefill to the first
// token.
func (s *Speeds) FirstToken(e core.Endpoint, v core.Version, tokens int) time.Duration {
	return s.Prefill(e, v, tokens) + seconds(s.get(e, v).firstToken.fixed())
}

// Decode returns the expected time to decode the given number of tokens while
// the given number of requests is running.
func (s *Speeds) Decode(e core.Endpoint, v core.Version, running, tokens int) time.Duration {
	return seconds(s.get(e, v).secondsPerOutputToken.predict(float64(running)) * float64(tokens))
}

// Service returns the expected duration of one call to a plain service.
func (s *Speeds) Service(e core.Endpoint, v core.Version) time.Duration {
	return seconds(s.get(e, v).secondsPerCall.value)
}

func (s *Speeds) get(e core.Endpoint, v core.Version) *speed {
	key := speedKey{e.Name, v}
	l := s.learned[key]
	if l == nil {
		l = &speed{
			firstToken:            firstTokenFit{initialRate: 1 / orDefault(e.PrefillRate, DefaultPrefillRate)},
			secondsPerOutputToken: linearFit{meanY: 1 / orDefault(e.DecodeRate, DefaultDecodeRate)},
			secondsPerCall:        ewma{value: DefaultServiceTime.Seconds()},
		}
		s.learned[key] = l
	}
	return l
}

func orDefault(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
