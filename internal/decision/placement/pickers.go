package placement

import "cmp"

// LowestScore picks the lowest score; of equal ones the first by name.
type LowestScore struct{}

// Pick implements Picker.
func (LowestScore) Pick(candidates []Candidate, scores []float64) int {
	best := 0
	for i := range candidates {
		order := cmp.Or(cmp.Compare(scores[i], scores[best]),
			cmp.Compare(candidates[i].Endpoint.Name, candidates[best].Endpoint.Name))
		if order < 0 {
			best = i
		}
	}
	return best
}

// RoundRobin picks one endpoint after the other by name.
type RoundRobin struct {
	last string
}

// Pick implements Picker.
func (r *RoundRobin) Pick(candidates []Candidate, _ []float64) int {
	first, next := 0, -1
	for i := range candidates {
		name := candidates[i].Endpoint.Name
		if name < candidates[first].Endpoint.Name {
			first = i
		}
		if name > r.last && (next < 0 || name < candidates[next].Endpoint.Name) {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	r.last = candidates[next].Endpoint.Name
	return next
}

// RotatingLowestScore picks the lowest score; of equal ones each in its turn, so that
// hosts that don't see each other do not all choose the same.
type RotatingLowestScore struct {
	// Offset is where the next search begins. Hosts begin at different places.
	Offset int
}

// Pick implements Picker.
func (l *RotatingLowestScore) Pick(candidates []Candidate, scores []float64) int {
	l.Offset = (l.Offset + 1) % len(candidates)
	best := l.Offset
	for step := range candidates {
		if at := (l.Offset + step) % len(candidates); scores[at] < scores[best] {
			best = at
		}
	}
	return best
}
