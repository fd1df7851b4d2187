package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"kingcupcourse/internal/core"
)

// completedCall is a call of the background traffic and its result.
type completedCall struct {
	call
	callResult
}

// traffic is background load on a cluster from several concurrent callers.
type traffic struct {
	cluster *cluster
	callers sync.WaitGroup
	cancel  context.CancelFunc

	mu    sync.Mutex
	calls []completedCall
}

// maxCallInterval limits the random pause of a background caller between two
// calls.
const maxCallInterval = 60 * time.Millisecond

// startTraffic starts a number of callers, each of which sends one call after
// the other to randomly chosen entry hosts until stop is called. next returns
// the nth call.
func (c *cluster) startTraffic(callers int, seed uint64, next func(n int) call) *traffic {
	ctx, stop := context.WithCancel(c.t.Context())
	f := &traffic{cluster: c, cancel: stop}
	for i := range callers {
		f.callers.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := i; ctx.Err() == nil; n += callers {
				f.send(c.hosts[random.IntN(len(c.hosts))], next(n))
				time.Sleep(time.Duration(random.Int64N(int64(maxCallInterval))))
			}
		})
	}
	c.t.Cleanup(f.stop)
	return f
}

// send sends a call and records its result. It does not use the context of the
// callers, so that stop interrupts no call.
func (f *traffic) send(h *host, k call) {
	result := f.cluster.send(context.Background(), h, k)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, completedCall{k, result})
}

// stop stops the callers and waits for their calls in progress.
func (f *traffic) stop() {
	f.cancel()
	f.callers.Wait()
}

// expectComplete fails the test if a response was truncated, or if a call was
// refused and refusals are not allowed. It returns the number of refusals.
func (f *traffic) expectComplete(t *testing.T, refusalsAllowed bool) (refused int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.calls {
		switch {
		case s.disposition != "":
			refused++
			if !refusalsAllowed {
				t.Errorf("%s: refused: %s", s.path, s.callResult.body)
			}
		case !s.complete:
			t.Errorf("%s: incomplete response: status %d, %v", s.path, s.status, s.err)
		}
	}
	if len(f.calls) == 0 {
		t.Error("the background traffic made no calls")
	}
	return refused
}

// poolCalls returns a function that makes the calls to one pool: a quarter of
// them run-once, the others retryable, each kind on its own path.
func poolCalls(pool string, kind core.Kind) func(n int) call {
	return func(n int) call {
		once := n%4 == 0
		switch {
		case kind == core.KindService && once:
			return call{method: http.MethodPost, path: "/" + pool + "/file", body: []byte("{}"), key: newKey()}
		case kind == core.KindService:
			return call{method: http.MethodGet, path: "/" + pool + "/look-up"}
		case once:
			return chatCompletion(pool, fmt.Sprintf("dossier %d", n), newKey())
		}
		return completion(pool, fmt.Sprintf("letter %d", n), responseTokens, "")
	}
}

// responseTokens is the length of the responses in the background traffic.
const responseTokens = 8

// chatCompletion returns a streamed call of the chat API.
func chatCompletion(model, prompt, key string) call {
	body, _ := json.Marshal(map[string]any{"model": model, "max_tokens": responseTokens, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": prompt}}})
	return call{method: http.MethodPost, path: "/v1/chat/completions", body: body, key: key, stream: true}
}
