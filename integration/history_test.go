package integration

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"kingcupcourse/internal/core"
)

// operation is one call as its caller saw it: its times and its result.
type operation struct {
	key                  string // empty for a request that may be retried
	calledAt, returnedAt time.Time
	result               callResult
}

// outcome classifies the result of the operation.
func (o *operation) outcome() outcome {
	result := &o.result
	switch {
	case result.disposition == core.NotRun:
		return outcomeNotRun
	case result.disposition == core.AlreadyRun, result.replayed:
		return outcomeRan
	case result.complete && result.status < http.StatusBadRequest:
		return outcomeRan
	default:
		return outcomeUnknown
	}
}

// outcome is what a response states about the execution of a request.
type outcome int

const (
	outcomeRan     outcome = iota // ran exactly once
	outcomeNotRun                 // has not run and never will
	outcomeUnknown                // may or may not have run
	finalRunCount                 // pseudo-operation: the number of runs that the endpoints counted in total
)

// history records the operations of all callers of a test.
type history struct {
	mu         sync.Mutex
	operations []operation
}

func (h *history) add(o operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

// input is the input of an operation in the porcupine model; its output is an
// outcome.
type input struct {
	key  string
	runs int // for finalRunCount
}

// runOnceModel models each idempotency key as the number of its runs, zero or
// one. A response that says the request ran either caused the run or reports
// the recorded result; one that says it did not run requires that the key has
// not run.
func runOnceModel() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[string][]porcupine.Operation{}
			for _, o := range all {
				key := o.Input.(input).key
				byKey[key] = append(byKey[key], o)
			}
			var parts [][]porcupine.Operation
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{0} },
		Step: func(state, in, out any) []any { return stepRunOnce(state.(int), in.(input), out.(outcome)) },
	}
	return nondeterministic.ToModel()
}

func stepRunOnce(runs int, in input, out outcome) []any {
	switch out {
	case outcomeRan:
		return []any{1}
	case outcomeNotRun:
		if runs == 0 {
			return []any{0}
		}
	case outcomeUnknown:
		return []any{runs, 1}
	case finalRunCount:
		if runs == in.runs {
			return []any{runs}
		}
	}
	return nil
}

// checkHistory compares the responses with the runs that the endpoints counted:
// no key ran twice, every "not run" is true, and the responses for a key are
// linearizable.
func (c *cluster) checkHistory(h *history, account string) {
	c.t.Helper()
	runs := map[string]int{}
	for _, name := range c.endpoints() {
		for id, n := range c.stats(name).Runs {
			runs[id] += n
		}
	}
	end := time.Now()
	var checked []porcupine.Operation
	keys := map[string]bool{}
	counts := map[outcome]int{}
	for i := range h.operations {
		o := &h.operations[i]
		counts[o.outcome()]++
		if o.key == "" {
			c.checkRetryable(o, runs)
			continue
		}
		keys[o.key] = true
		returned := o.returnedAt.UnixNano()
		if o.outcome() == outcomeUnknown {
			returned = math.MaxInt64 - 1
		}
		checked = append(checked, porcupine.Operation{ClientId: i, Input: input{key: o.key},
			Call: o.calledAt.UnixNano(), Output: o.outcome(), Return: returned})
	}
	for key := range keys {
		n := runs[requestIDForKey(account, key)]
		if n > 1 {
			c.t.Errorf("key %s ran %d times", key, n)
		}
		checked = append(checked, porcupine.Operation{ClientId: len(h.operations), Input: input{key: key, runs: n},
			Call: end.UnixNano(), Output: finalRunCount, Return: end.UnixNano() + 1})
	}
	result, _ := porcupine.CheckOperationsVerbose(runOnceModel(), checked, time.Minute)
	if result != porcupine.Ok {
		c.t.Errorf("the history is not linearizable: %v", result)
		c.logInconsistentKeys(h, account, runs)
	}
	c.t.Logf("%d operations on %d keys: %d ran, %d not run, %d unknown; %v", len(h.operations), len(keys),
		counts[outcomeRan], counts[outcomeNotRun], counts[outcomeUnknown], h.unservedReasons())
}

// unservedReasons counts the operations that were not served, by disposition and
// reason.
func (h *history) unservedReasons() map[string]int {
	counts := map[string]int{}
	for i := range h.operations {
		o := &h.operations[i]
		if o.outcome() == outcomeRan {
			continue
		}
		reason := string(o.result.disposition) + " " + string(o.result.reason)
		if o.result.disposition == "" {
			reason = "no response"
		}
		counts[reason]++
	}
	return counts
}

// logInconsistentKeys logs the keys whose responses contradict the counted runs.
func (c *cluster) logInconsistentKeys(h *history, account string, runs map[string]int) {
	c.t.Helper()
	for i := range h.operations {
		o := &h.operations[i]
		n := runs[requestIDForKey(account, o.key)]
		if o.key != "" && ((o.outcome() == outcomeNotRun && n > 0) || (o.outcome() == outcomeRan && n != 1)) {
			c.t.Logf("key %s: %d runs, outcome %v (%d %s %s %v) at %v", o.key, n, o.outcome(), o.result.status,
				o.result.disposition, o.result.reason, o.result.err, o.returnedAt)
		}
	}
}

func (c *cluster) checkRetryable(o *operation, runs map[string]int) {
	c.t.Helper()
	if o.outcome() == outcomeNotRun && runs[o.result.requestID] > 0 {
		c.t.Errorf("request %s was refused as not run (%s), but it ran", o.result.requestID, o.result.reason)
	}
}

// requestIDForKey returns the request id that endpoints receive for a request
// with an idempotency key.
func requestIDForKey(account, key string) string {
	space := uuid.NewSHA1(uuid.NameSpaceURL, []byte("kingcupcourse:request"))
	return uuid.NewSHA1(space, []byte(account+"\x00"+key)).String()
}

// startRandomTraffic sends requests from several callers until stop is called:
// ledger entries and drafts with idempotency keys, some of them a second time
// through a randomly chosen host, and summaries that may be retried.
func (c *cluster) startRandomTraffic(t *testing.T, seed uint64, callers int) (h *history, stop func()) {
	h = &history{}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				c.sendRandomRequest(t.Context(), h, random)
			}
		})
	}
	return h, func() { cancel(); running.Wait() }
}

// callTimeout is how long a caller waits for a response.
const callTimeout = 15 * time.Second

func (c *cluster) sendRandomRequest(ctx context.Context, h *history, random *rand.Rand) {
	key := newKey()
	var k call
	switch random.IntN(3) {
	case 0:
		k = postEntry(key)
	case 1:
		k = completion(draftModel, "dossier "+key, 5+random.IntN(20), key)
	default:
		key = ""
		k = completion(summaryModel, "letters "+newKey(), 5+random.IntN(20), "")
	}
	k.deadline = 10 * time.Second
	var sent sync.WaitGroup
	first := c.randomHost(random)
	sent.Go(func() { c.sendAndRecord(ctx, h, first, k, key) })
	if key != "" && random.IntN(3) == 0 {
		delay, other := time.Duration(random.IntN(300))*time.Millisecond, c.randomHost(random)
		sent.Go(func() {
			time.Sleep(delay)
			c.sendAndRecord(ctx, h, other, k, key)
		})
	}
	sent.Wait()
	time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
}

func (c *cluster) randomHost(random *rand.Rand) *host { return c.hosts[random.IntN(len(c.hosts))] }

func (c *cluster) sendAndRecord(ctx context.Context, h *history, to *host, k call, key string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o := operation{key: key, calledAt: time.Now()}
	o.result = c.send(ctx, to, k)
	o.returnedAt = time.Now()
	if o.result.err != nil && o.result.status == 0 {
		// No response at all: the entry host is down.
		time.Sleep(20 * time.Millisecond)
	}
	h.add(o)
}
