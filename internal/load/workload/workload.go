// Package workload generates the requests of an experiment from its seed. The
// same experiment always gives the same requests at the same times.
package workload

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"kingcupcourse/internal/load/experiment"
)

// Arrival is a request that is due at a planned time.
type Arrival struct {
	// At is the time since the start of the run.
	At    time.Duration
	Class *experiment.Class
	// EntryIndex is the index of the entry host that the simulated balancer
	// chooses.
	EntryIndex int
	// Prompt and OutputTokens are set for a completions request.
	Prompt       string
	OutputTokens int
	// Resend is set if the caller sends the request a second time, through
	// the entry host ResendEntryIndex, ResendAfter later than the first.
	Resend           bool
	ResendAfter      time.Duration
	ResendEntryIndex int
	// KeyBits are random bits for an idempotency key. Callers don't use them:
	// they send a UUIDv7.
	KeyBits uint64
}

// bytesPerToken is the number of bytes that the stand-in engines count as one
// prompt token.
const bytesPerToken = 4

// maxResendDelay bounds the time after which a caller resends a request.
const maxResendDelay = 400 * time.Millisecond

// Generate returns all arrivals of the experiment in time order.
func Generate(e *experiment.Experiment) []Arrival {
	var arrivals []Arrival
	for i := range e.Classes {
		class := &e.Classes[i]
		if e.OnlyTier != 0 && class.Tier != e.OnlyTier {
			continue
		}
		random := rand.New(rand.NewPCG(e.Seed, uint64(i)))
		arrivals = append(arrivals, generateClass(e, class, random)...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals
}

// generateClass draws a Poisson process whose rate varies with the bursts, by
// thinning a process with the peak rate.
func generateClass(e *experiment.Experiment, class *experiment.Class, random *rand.Rand) []Arrival {
	end := time.Duration(e.DurationMS) * time.Millisecond
	peakRate := class.Rate * e.LoadFactor
	if class.Burst != nil {
		peakRate *= max(1, class.Burst.Factor)
	}
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / peakRate * float64(time.Second))
		if at >= end {
			return arrivals
		}
		keep := random.Float64() < class.Rate*e.LoadFactor*burstFactor(class.Burst, at)/peakRate
		if keep {
			arrivals = append(arrivals, newArrival(e, class, at, random))
		}
	}
}

func burstFactor(burst *experiment.Burst, at time.Duration) float64 {
	if burst == nil {
		return 1
	}
	if at.Milliseconds()%burst.EveryMS < burst.LengthMS {
		return burst.Factor
	}
	return 1
}

func newArrival(e *experiment.Experiment, class *experiment.Class, at time.Duration, random *rand.Rand) Arrival {
	a := Arrival{At: at, Class: class, EntryIndex: random.IntN(len(e.EntryURLs)), KeyBits: random.Uint64()}
	if class.Model != "" {
		a.OutputTokens = sampleSize(class.OutputTokens, random)
		a.Prompt = newPrompt(class, sampleSize(class.PromptTokens, random), a.OutputTokens, random)
	}
	if class.RunOnce && random.Float64() < class.ResendRate {
		a.Resend = true
		a.ResendAfter = time.Duration(random.Int64N(int64(maxResendDelay)))
		a.ResendEntryIndex = random.IntN(len(e.EntryURLs))
	}
	return a
}

func sampleSize(s experiment.SizeDistribution, random *rand.Rand) int {
	n := int(math.Round(float64(s.Median) * math.Exp(random.NormFloat64()*s.Sigma)))
	if s.Max > 0 {
		n = min(n, s.Max)
	}
	return max(1, n)
}

// newPrompt returns a text of the given length in tokens. It begins with one
// of the class's shared prefixes, if it has any, and contains a marker that
// tells the stand-in engine how many tokens to generate.
func newPrompt(class *experiment.Class, tokens, outputTokens int, random *rand.Rand) string {
	var b strings.Builder
	if class.SharedPrefixes > 0 {
		prefix := random.IntN(class.SharedPrefixes)
		appendWords(&b, class.PrefixTokens*bytesPerToken, rand.New(rand.NewPCG(uint64(prefix), 7)), class.Name)
	}
	fmt.Fprintf(&b, "[tokens=%d] ", outputTokens)
	appendWords(&b, tokens*bytesPerToken, random, class.Name)
	return b.String()[:max(b.Len()-b.Len()%bytesPerToken, 1)]
}

// appendWords appends firstWord and then random words until the text has at
// least n bytes.
func appendWords(b *strings.Builder, n int, random *rand.Rand, firstWord string) {
	b.WriteString(firstWord)
	for b.Len() < n {
		fmt.Fprintf(b, " %06x", random.Uint32()&0xffffff)
	}
	b.WriteByte('\n')
}
