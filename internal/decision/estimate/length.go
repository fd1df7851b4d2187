package estimate

import "slices"

const (
	// DefaultOutputTokens is the first guess of the output length.
	DefaultOutputTokens = 256
	// windowSize is how many answers of one kind are remembered.
	windowSize = 64
	// minLengths is how many answers must be known before the first guess
	// is given up.
	minLengths = 4
)

// Lengths predicts output lengths by route and client account.
type Lengths struct {
	windows map[lengthKey]*window
}

type lengthKey struct{ route, account string }

// window is the newest lengths, in arrival order and sorted.
type window struct {
	arrivals []int
	sorted   []int
	oldest   int
}

// NewLengths returns an empty set.
func NewLengths() *Lengths { return &Lengths{windows: map[lengthKey]*window{}} }

// Observe learns the output length of a finished answer.
func (l *Lengths) Observe(route, account string, tokens int) {
	key := lengthKey{route, account}
	w := l.windows[key]
	if w == nil {
		w = &window{}
		l.windows[key] = w
	}
	w.add(tokens)
}

// Quantile predicts the output length that the given fraction of answers
// does not exceed. Until enough is known it returns the first guess.
func (l *Lengths) Quantile(route, account string, q float64, guess int) int {
	w := l.windows[lengthKey{route, account}]
	if w == nil || len(w.sorted) < minLengths {
		return guess
	}
	return w.sorted[min(len(w.sorted)-1, int(q*float64(len(w.sorted))))]
}

func (w *window) add(tokens int) {
	if len(w.arrivals) < windowSize {
		w.arrivals = append(w.arrivals, tokens)
	} else {
		oldest := w.arrivals[w.oldest]
		at, _ := slices.BinarySearch(w.sorted, oldest)
		w.sorted = slices.Delete(w.sorted, at, at+1)
		w.arrivals[w.oldest] = tokens
		w.oldest = (w.oldest + 1) % windowSize
	}
	at, _ := slices.BinarySearch(w.sorted, tokens)
	w.sorted = slices.Insert(w.sorted, at, tokens)
}
