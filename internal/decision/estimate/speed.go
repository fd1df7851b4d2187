// Package estimate learns how fast endpoints work and how long answers are.
package estimate

import (
	"time"

	"kingcupcourse/internal/core"
)

const (
	// DefaultPrefillRate is the first guess in prompt tokens a second.
	DefaultPrefillRate = 4000.0
	// DefaultDecodeRate is the first guess in tokens a second of one
	// running request.
	DefaultDecodeRate = 40.0
	// DefaultServiceTime is the first guess for one call of a plain service.
	DefaultServiceTime = 50 * time.Millisecond
	// minPrefillTokens is the least uncached prompt from which a prefill
	// rate is learned; shorter ones measure the network.
	minPrefillTokens = 64
	// minSamples is how many attempts must have ended, and freshTime how
	// lately, for a speed to be trusted.
	minSamples   = 3
	maxSampleAge = 10 * time.Second
)

// Sample is what one finished attempt tells about its endpoint.
type Sample struct {
	// PrefillTokens is the prompt less the cached prefix.
	PrefillTokens int
	OutputTokens  int
	// Concurrency is how many attempts ran on the endpoint.
	Concurrency int
	// FirstToken, BetweenTokens and Total are times from the dispatch;
	// BetweenTokens is the mean.
	FirstToken, BetweenTokens, Total time.Duration
	// EndedAt is when the attempt ended.
	EndedAt time.Time
}

// Speeds holds what was learned by endpoint and version.
type Speeds struct {
	learned map[speedKey]*speed
}

type speedKey struct {
	endpoint string
	version  core.Version
}

type speed struct {
	// secondsPerPromptToken is in seconds a token.
	secondsPerPromptToken ewma
	// secondsPerOutputToken is the time between tokens in seconds, by running requests.
	secondsPerOutputToken linearFit
	// secondsPerCall is in seconds a call.
	secondsPerCall ewma
	count          int
	lastSampleAt   time.Time
}

// NewSpeeds returns an empty set.
func NewSpeeds() *Speeds { return &Speeds{learned: map[speedKey]*speed{}} }

// Observe learns from a finished attempt on the endpoint with the version.
func (s *Speeds) Observe(e core.Endpoint, v core.Version, sample Sample) {
	l := s.get(e, v)
	l.count++
	l.lastSampleAt = sample.EndedAt
	if sample.Total > 0 {
		l.secondsPerCall.add(sample.Total.Seconds())
	}
	if sample.PrefillTokens >= minPrefillTokens && sample.FirstToken > 0 {
		l.secondsPerPromptToken.add(sample.FirstToken.Seconds() / float64(sample.PrefillTokens))
	}
	if sample.OutputTokens > 1 && sample.BetweenTokens > 0 {
		l.secondsPerOutputToken.add(float64(sample.Concurrency), sample.BetweenTokens.Seconds())
	}
}

// Fresh tells whether the speed was learned lately and not only guessed.
func (s *Speeds) Fresh(e core.Endpoint, v core.Version, now time.Time) bool {
	l := s.get(e, v)
	return l.count >= minSamples && now.Sub(l.lastSampleAt) < maxSampleAge
}

// Prefill returns the expected time to prefill the tokens.
func (s *Speeds) Prefill(e core.Endpoint, v core.Version, tokens int) time.Duration {
	return seconds(s.get(e, v).secondsPerPromptToken.value * float64(tokens))
}

// Decode returns the expected time to decode the tokens while the given
// number of requests runs.
func (s *Speeds) Decode(e core.Endpoint, v core.Version, running, tokens int) time.Duration {
	return seconds(s.get(e, v).secondsPerOutputToken.predict(float64(running)) * float64(tokens))
}

// Service returns the expected time of one call to a plain service.
func (s *Speeds) Service(e core.Endpoint, v core.Version) time.Duration {
	return seconds(s.get(e, v).secondsPerCall.value)
}

func (s *Speeds) get(e core.Endpoint, v core.Version) *speed {
	key := speedKey{e.Name, v}
	l := s.learned[key]
	if l == nil {
		l = &speed{
			secondsPerPromptToken: ewma{value: 1 / orDefault(e.PrefillRate, DefaultPrefillRate)},
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
