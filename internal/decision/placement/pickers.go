package placement

import "cmp"

// LowestScore picks the lowest score, and the first by name among equal ones.
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

// RoundRobin picks the endpoints in turn, ordered by name.
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

// RotatingLowestScore picks the lowest score. Among equal ones it rotates, so
// that hosts that do not know of each other's choices do not all pick the same
// endpoint.
type RotatingLowestScore struct {
	// Offset is where the next search starts. It is initialized differently
	// on each host.
	Offset int
}

// Pick implements Picker.
func (r *RotatingLowestScore) Pick(candidates []Candidate, scores []float64) int {
	r.Offset = (r.Offset + 1) % len(candidates)
	best := r.Offset
	for step := range candidates {
		if at := (r.Offset + step) % len(candidates); scores[at] < scores[best] {
			best = at
		}
	}
	return best
}
