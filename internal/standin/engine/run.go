package engine

import (
	"errors"
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/tokens"
)

var (
	errDuplicate  = errors.New("engine: a run with this id is known")
	errTooLong    = errors.New("engine: the request needs more cache memory than there is")
	errQueueFull  = errors.New("engine: too many requests wait")
	errOverload   = errors.New("engine: planted failure above a number of running requests")
	errCancelled  = errors.New("engine: the run was cancelled")
	errLost       = errors.New("engine: the engine crashed")
	errUnknownRun = errors.New("engine: unknown run")
)

// refusal is the error of a run that an engine in this state does not start.
type refusal struct{ state string }

func (r refusal) Error() string { return "engine: " + r.state }

// request is what a caller asks an engine to run.
type request struct {
	id        string
	model     string
	prompt    string
	maxTokens int
	chat      bool
	wrong     bool
	// life is how many crashes were before the request came.
	life int
}

// run is the record of one request.
type run struct {
	request
	version      string
	blocks       []uint64
	promptTokens int
	seed         uint64
	// total is how many tokens the answer has.
	total int

	// charged is how many tokens the prefill takes, and prefillLeft how
	// many of them are not done.
	charged     int
	prefillLeft float64
	produced    int
	pins        []*block
	// private is the cache memory of this run alone, in tokens.
	private   int
	cancelled bool
	endedAt   time.Time
	waiters   []progressAsked
}

func newRun(r request, version string) *run {
	return &run{
		request:      r,
		version:      version,
		blocks:       blocksOf(r.prompt),
		promptTokens: tokens.Count(r.prompt),
		seed:         tokens.Seed(r.prompt),
		total:        tokens.Length(r.prompt, r.maxTokens),
	}
}

func (r *run) prefilled() bool { return r.prefillLeft == 0 }

func (r *run) finished() bool { return r.produced == r.total }

// over tells whether nothing more will come.
func (r *run) over() bool { return r.finished() || r.cancelled }

// outstanding is the work left as the engine knows it: it does not know at
// which token the answer will end.
func (r *run) outstanding() int {
	if r.finished() {
		return 0
	}
	return int(r.prefillLeft) + r.maxTokens - r.produced
}

// progress is how far a run is, with all that an answer is made of.
type progress struct {
	id           string
	model        string
	chat         bool
	wrong        bool
	version      string
	promptTokens int
	seed         uint64
	produced     int
	total        int
	// limited means that the answer ends because of its largest length.
	limited bool
}

func (r *run) progress() progress {
	return progress{
		id: r.id, model: r.model, chat: r.chat, wrong: r.wrong, version: r.version,
		promptTokens: r.promptTokens, seed: r.seed, produced: r.produced, total: r.total,
		limited: r.total == r.maxTokens,
	}
}

func (p progress) text(index int) string {
	if p.wrong {
		return tokens.Wrong(index)
	}
	return tokens.Text(p.seed, index)
}

// progressAnswer is the state of a run, or why there is none.
type progressAnswer struct {
	progress
	err error
}

// progressAsked waits until a run has more than after tokens, or has ended.
type progressAsked struct {
	ring.Reply[progressAnswer]
	id    string
	after int
}

// tell answers those who wait for tokens that there are now.
func (r *run) tell() {
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if r.produced > w.after || r.finished() {
			w.Send(progressAnswer{progress: r.progress()})
		} else {
			kept = append(kept, w)
		}
	}
	clear(r.waiters[len(kept):])
	r.waiters = kept
}

// fail ends the wait of all who wait for tokens.
func (r *run) fail(err error) {
	for _, w := range r.waiters {
		w.Send(progressAnswer{err: err})
	}
	r.waiters = nil
}
