package engine

import (
	"errors"
	"time"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/standin/tokens"
)

var (
	errDuplicateID = errors.New("engine: a run with this id is known")
	errTooLong     = errors.New("engine: the request needs more cache memory than there is")
	errQueueFull   = errors.New("engine: too many requests wait")
	errOverload    = errors.New("engine: planted failure above a number of running requests")
	errCancelled   = errors.New("engine: the run was cancelled")
	errLost        = errors.New("engine: the engine crashed")
	errUnknownRun  = errors.New("engine: unknown run")
)

// notReadyError is returned for a request while the engine is in a state in which
// it starts no runs.
type notReadyError struct{ state string }

func (r notReadyError) Error() string { return "engine: " + r.state }

// request is a completion request, independent of its encoding.
type request struct {
	id        string
	model     string
	prompt    string
	maxTokens int
	chat      bool
	wrong     bool
	// generation is the number of crashes before the request arrived.
	generation int
}

// run is the execution of one request.
type run struct {
	request
	version      string
	blocks       []uint64
	promptTokens int
	seed         uint64
	// outputTokens is the length of the complete output.
	outputTokens int

	// prefillTokens is the length of the prefill, and prefillLeft the part of
	// it that is not done yet.
	prefillTokens int
	prefillLeft   float64
	produced      int
	pinnedBlocks  []*block
	// privateTokens is the unshared cache memory of this run, in tokens.
	privateTokens int
	cancelled     bool
	endedAt       time.Time
	waiters       []awaitProgress
}

func newRun(r request, version string) *run {
	return &run{
		request:      r,
		version:      version,
		blocks:       blockHashes(r.prompt),
		promptTokens: tokens.Count(r.prompt),
		seed:         tokens.Seed(r.prompt),
		outputTokens: tokens.OutputLength(r.prompt, r.maxTokens),
	}
}

func (r *run) prefilled() bool { return r.prefillLeft == 0 }

func (r *run) finished() bool { return r.produced == r.outputTokens }

// ended reports whether the run will produce no more tokens.
func (r *run) ended() bool { return r.finished() || r.cancelled }

// outstandingTokens returns the remaining work as far as an engine can know it:
// the output may end before maxTokens.
func (r *run) outstandingTokens() int {
	if r.finished() {
		return 0
	}
	return int(r.prefillLeft) + r.maxTokens - r.produced
}

// progress is the state of a run, with all that is needed to write a response.
type progress struct {
	id           string
	model        string
	chat         bool
	wrong        bool
	version      string
	promptTokens int
	seed         uint64
	produced     int
	outputTokens int
	// lengthLimited means that the output ends because of maxTokens.
	lengthLimited bool
}

func (r *run) progress() progress {
	return progress{
		id: r.id, model: r.model, chat: r.chat, wrong: r.wrong, version: r.version,
		promptTokens: r.promptTokens, seed: r.seed, produced: r.produced, outputTokens: r.outputTokens,
		lengthLimited: r.outputTokens == r.maxTokens,
	}
}

func (p progress) text(index int) string {
	if p.wrong {
		return tokens.WrongText(index)
	}
	return tokens.Text(p.seed, index)
}

// progressReply is the state of a run, or the reason why there is none.
type progressReply struct {
	progress
	err error
}

// awaitProgress waits until a run has produced more output tokens than after, or
// has ended.
type awaitProgress struct {
	ring.Reply[progressReply]
	id    string
	after int
}

// notifyWaiters replies to the waiters whose tokens are available.
func (r *run) notifyWaiters() {
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if r.produced > w.after || r.finished() {
			w.Send(progressReply{progress: r.progress()})
		} else {
			kept = append(kept, w)
		}
	}
	clear(r.waiters[len(kept):])
	r.waiters = kept
}

// failWaiters replies to all waiters with an error.
func (r *run) failWaiters(err error) {
	for _, w := range r.waiters {
		w.Send(progressReply{err: err})
	}
	r.waiters = nil
}
