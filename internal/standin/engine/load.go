package engine

import "time"

// loadReport is the body of the answer to a load call.
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

// samplesPerDelay is how finely the past load is remembered.
const samplesPerDelay = 16

// loadHistory remembers the load for as long as reports lag.
type loadHistory struct {
	delay   time.Duration
	samples []loadSample
	// changed means that the load has changed since the last sample.
	changed bool
}

type loadSample struct {
	at     time.Time
	report loadReport
}

func (h *loadHistory) sampleInterval() time.Duration { return h.delay / samplesPerDelay }

// nextSampleAt is when the nextSampleAt sample is due, zero if none is.
func (h *loadHistory) nextSampleAt() time.Time {
	if !h.changed || h.delay == 0 || len(h.samples) == 0 {
		return time.Time{}
	}
	return h.samples[len(h.samples)-1].at.Add(h.sampleInterval())
}

// observe takes a sample if one is due and forgets those that are too old
// to be reported. current is not called otherwise.
func (h *loadHistory) observe(now time.Time, current func(time.Time) loadReport) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < h.sampleInterval() {
		return
	}
	h.samples = append(h.samples, loadSample{at: now, report: current(now)})
	h.changed = false
	seen := now.Add(-h.delay)
	for len(h.samples) > 1 && !h.samples[1].at.After(seen) {
		h.samples = h.samples[1:]
	}
}

// delayedReport returns the newest sample that is at least as old as the lag, or
// the oldest there is.
func (h *loadHistory) delayedReport(now time.Time) loadReport {
	seen := now.Add(-h.delay)
	newest := h.samples[0]
	for _, s := range h.samples {
		if s.at.After(seen) {
			break
		}
		newest = s
	}
	return newest.report
}
