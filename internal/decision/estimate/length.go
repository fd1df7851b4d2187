package estimate

import "slices"

const (
	// DefaultOutputTokens is the initial estimate of the output length.
	DefaultOutputTokens = 256
	// windowSize is the number of lengths kept for a route and account.
	windowSize = 64
	// minLengths is the number of observed lengths from which they replace the
	// initial estimate.
	minLengths = 4
)

// Lengths predicts output lengths for each route and client account.
type Lengths struct {
	windows map[lengthKey]*window
}

type lengthKey struct{ route, account string }

// window holds the most recent lengths, as a circular buffer and sorted.
type window struct {
	lengths []int
	sorted  []int
	oldest  int
}

// NewLengths returns a Lengths without observations.
func NewLengths() *Lengths { return &Lengths{windows: map[lengthKey]*window{}} }

// Observe records the output length of a completed response.
func (l *Lengths) Observe(route, account string, tokens int) {
	key := lengthKey{route, account}
	w := l.windows[key]
	if w == nil {
		w = &window{}
		l.windows[key] = w
	}
	w.add(tokens)
}

// Quantile returns the output length that the fraction q of responses does not
// exceed. It returns the fallback until minLengths lengths have been observed.
func (l *Lengths) Quantile(route, account string, q float64, fallback int) int {
	w := l.windows[lengthKey{route, account}]
	if w == nil || len(w.sorted) < minLengths {
		return fallback
	}
	return w.sorted[min(len(w.sorted)-1, int(q*float64(len(w.sorted))))]
}

func (w *window) add(tokens int) {
	if len(w.lengths) < windowSize {
		w.lengths = append(w.lengths, tokens)
	} else {
		evicted := w.lengths[w.oldest]
		at, _ := slices.BinarySearch(w.sorted, evicted)
		w.sorted = slices.Delete(w.sorted, at, at+1)
		w.lengths[w.oldest] = tokens
		w.oldest = (w.oldest + 1) % windowSize
	}
	at, _ := slices.BinarySearch(w.sorted, tokens)
	w.sorted = slices.Insert(w.sorted, at, tokens)
}
