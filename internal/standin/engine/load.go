package engine

import "time"

// loadReport is the body of the response to a load call.
type loadReport struct {
	AsOfUnixMS        int64  `json:"as_of_unix_ms"`
	Version           string `json:"version"`
	State             string `json:"state"`
	Slots             int    `json:"slots"`
	Running           int    `json:"running"`
	Waiting           int    `json:"waiting"`
	OutstandingTokens int    `json:"outstanding_tokens"`
	FreeCacheTokens   int    `json:"free_cache_tokens"`
}

// samplesPerDelay is the number of load samples taken per report delay.
const samplesPerDelay = 16

// loadHistory keeps load samples for the duration of the report delay.
type loadHistory struct {
	delay   time.Duration
	samples []loadSample
	// changed means that the load may have changed since the last sample.
	changed bool
}

type loadSample struct {
	at     time.Time
	report loadReport
}

func (h *loadHistory) sampleInterval() time.Duration { return h.delay / samplesPerDelay }

// nextSampleAt returns when the next sample is due, zero if none is.
func (h *loadHistory) nextSampleAt() time.Time {
	if !h.changed || h.delay == 0 || len(h.samples) == 0 {
		return time.Time{}
	}
	return h.samples[len(h.samples)-1].at.Add(h.sampleInterval())
}

// observe takes a sample if one is due, and removes the samples that are too old
// to be reported. It calls current only if a sample is due.
func (h *loadHistory) observe(now time.Time, current func(time.Time) loadReport) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < h.sampleInterval() {
		return
	}
	h.samples = append(h.samples, loadSample{at: now, report: current(now)})
	h.changed = false
	cutoff := now.Add(-h.delay)
	for len(h.samples) > 1 && !h.samples[1].at.After(cutoff) {
		h.samples = h.samples[1:]
	}
}

// delayedReport returns the newest sample that is at least as old as the delay,
// or the oldest sample if there is none.
func (h *loadHistory) delayedReport(now time.Time) loadReport {
	cutoff := now.Add(-h.delay)
	newest := h.samples[0]
	for _, s := range h.samples {
		if s.at.After(cutoff) {
			break
		}
		newest = s
	}
	return newest.report
}
