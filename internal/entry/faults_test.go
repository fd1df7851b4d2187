package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/message"
)

const draftRequest = `{"model":"draft","prompt":"a citation","max_tokens":40,"stream":true}`

func TestInterruptedStreamIsResumedWithoutLossOrDuplicates(t *testing.T) {
	s := startStandins(t, 1, 0)
	f := newFixture(t, s.backend("models", "engine-0"))
	s.injectFault("engine-0", `{"cut_streams":2}`)
	expectCompleteStream(t, f.mustDo("POST", "/v1/completions", draftRequest, newKeyHeader()), 40)
	if runs := s.engineStats("engine-0").Started; runs != 1 {
		t.Fatalf("%d runs", runs)
	}
}

func TestInterruptedStreamCompletesBufferedResponse(t *testing.T) {
	s := startStandins(t, 1, 0)
	f := newFixture(t, s.backend("models", "engine-0"))
	s.injectFault("engine-0", `{"cut_streams":1}`)
	got := f.mustDo("POST", "/v1/completions", `{"model":"chat","prompt":"a question","max_tokens":12}`)
	var body struct {
		Choices []struct {
			Text         string `json:"text"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(got.body), &body); err != nil || got.status != http.StatusOK {
		t.Fatalf("%d %s: %v", got.status, got.body, err)
	}
	if body.Usage.CompletionTokens != 12 || body.Choices[0].Text == "" || body.Choices[0].FinishReason == "" {
		t.Fatalf("response %s", got.body)
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	s := startStandins(t, 1, 0)
	f := newFixture(t, s.backend("models", "engine-0"))
	s.injectFault("engine-0", `{"slow_factor":4}`)
	wait := f.background("POST", "/v1/completions",
		`{"model":"draft","prompt":"p","max_tokens":30,"stream":true}`, newKeyHeader())
	eventually(t, "the run has started", func() bool { return s.engineStats("engine-0").Started == 1 })
	s.injectFault("engine-0", `{"silent_connections":true}`)
	expectCompleteStream(t, wait(), 30)
}

func TestEndpointDeathIsRecordedAndRetryableRequestMoves(t *testing.T) {
	s := startStandins(t, 2, 0)
	f := newFixture(t, s.backend("models", "engine-0"), s.backend("models", "engine-1"))
	s.injectFault("engine-0", `{"crash_on":"poison"}`)
	got := f.mustDo("POST", "/v1/completions", `{"model":"chat","prompt":"poison","max_tokens":5,"stream":true}`)
	expectCompleteStream(t, got, 5)
	marks := f.control.factKeys(message.FactPoison)
	if len(marks) != 1 || !strings.HasSuffix(marks[0], "/engine-0") {
		t.Fatalf("marks %v", marks)
	}
	eventually(t, "both outcomes", func() bool {
		return slices.Equal(f.scheduler.results(), []core.Result{core.ResultLost, core.ResultOK})
	})
}

func TestEndpointDeathDuringRunOnceRequestLeavesOutcomeUnknown(t *testing.T) {
	s := startStandins(t, 2, 0)
	f := newFixture(t, s.backend("models", "engine-0"), s.backend("models", "engine-1"))
	s.injectFault("engine-0", `{"crash_on":"poison"}`)
	got := f.mustDo("POST", "/v1/completions", `{"model":"draft","prompt":"poison","max_tokens":5}`, newKeyHeader())
	expectRefusal(t, got, http.StatusBadGateway, core.OutcomeUnknown, core.ReasonResponseIncomplete)
	if runs := s.engineStats("engine-1").Started; runs != 0 {
		t.Fatal("a run-once request was dispatched twice")
	}
}

func TestPoisonRequestIsRefusedAfterTwoDeaths(t *testing.T) {
	s := startStandins(t, 3, 0)
	f := newFixture(t, s.backend("models", "engine-0"), s.backend("models", "engine-1"), s.backend("models", "engine-2"))
	for _, name := range []string{"engine-0", "engine-1", "engine-2"} {
		s.injectFault(name, `{"crash_on":"poison"}`)
	}
	const body = `{"model":"chat","prompt":"poison","max_tokens":5,"stream":true}`
	expectRefusal(t, f.mustDo("POST", "/v1/completions", body),
		http.StatusUnprocessableEntity, core.OutcomeUnknown, core.ReasonPoison)
	marks := f.control.factKeys(message.FactPoison)
	if len(marks) != 2 {
		t.Fatalf("marks %v", marks)
	}
	mark, _, _ := strings.Cut(marks[0], "/")
	view := f.view()
	view.PoisonMarks = map[string]int{mark: 2}
	f.publish(view)
	expectRefusal(t, f.mustDo("POST", "/v1/completions", body),
		http.StatusUnprocessableEntity, core.NotRun, core.ReasonPoison)
}

func TestDrainingEndpointIsReportedAndAvoided(t *testing.T) {
	s := startStandins(t, 0, 2)
	f := newFixture(t, s.backend("ledger", "ledger-0"), s.backend("ledger", "ledger-1"))
	s.order("ledger-0", `{"order":"leave"}`)
	got := f.mustDo("POST", "/v1/transfers", `{"from":"a","to":"b","hours":1}`, newKeyHeader())
	if got.status != http.StatusCreated {
		t.Fatalf("%d %s", got.status, got.body)
	}
	if keys := f.control.factKeys(message.FactDraining); !slices.Equal(keys, []string{"ledger-0"}) {
		t.Fatalf("draining facts %v", keys)
	}
	requests := f.scheduler.grantRequests()
	if len(requests) != 2 || requests[0].Attempt == requests[1].Attempt || !slices.Equal(requests[1].Exclude, []string{"ledger-0"}) {
		t.Fatalf("grant calls %+v", requests)
	}
}

func TestRequestIsPlacedAgainAfterRefusedConnection(t *testing.T) {
	s := startStandins(t, 0, 2)
	f := newFixture(t, s.backend("ledger", "ledger-0"), s.backend("ledger", "ledger-1"))
	s.injectFault("ledger-0", `{"down":true}`)
	got := f.mustDo("POST", "/v1/transfers", `{"from":"a","to":"b","hours":1}`, newKeyHeader())
	if got.status != http.StatusCreated {
		t.Fatalf("%d %s", got.status, got.body)
	}
}

func TestReadOnSilentEndpointIsRetriedElsewhere(t *testing.T) {
	s := startStandins(t, 0, 2)
	f := newFixture(t, s.backend("ledger", "ledger-0"), s.backend("ledger", "ledger-1"))
	s.injectFault("ledger-0", `{"freeze":true}`)
	if got := f.mustDo("GET", "/v1/balances/a", ""); got.status != http.StatusOK {
		t.Fatalf("%d %s", got.status, got.body)
	}
	s.injectFault("ledger-0", `{"freeze":false}`)
}

func TestCallerDisconnectCancelsRun(t *testing.T) {
	s := startStandins(t, 1, 0)
	f := newFixture(t, s.backend("models", "engine-0"))
	s.injectFault("engine-0", `{"slow_factor":10}`)
	ctx, cancel := context.WithCancel(t.Context())
	body := `{"model":"draft","prompt":"p","max_tokens":1000,"stream":true}`
	wait := f.backgroundContext(ctx, "POST", "/v1/completions", body, newKeyHeader())
	eventually(t, "the run has started", func() bool { return s.engineStats("engine-0").Started == 1 })
	cancel()
	_ = wait
	eventually(t, "the run is cancelled", func() bool { return s.engineStats("engine-0").Cancelled == 1 })
	eventually(t, "the outcome", func() bool {
		return slices.Equal(f.scheduler.results(), []core.Result{core.ResultCancelled})
	})
}

func TestCallerDisconnectWhileWaitingForGrantReleasesIt(t *testing.T) {
	f := newFixture(t)
	waiting := make(chan struct{})
	f.scheduler.replyTo = func(message.GrantRequest) *message.GrantReply { <-waiting; return nil }
	ctx, cancel := context.WithCancel(t.Context())
	f.backgroundContext(ctx, "POST", "/v1/completions", draftRequest, newKeyHeader())
	eventually(t, "the grant call", func() bool { return len(f.scheduler.grantRequests()) == 1 })
	cancel()
	eventually(t, "the outcome", func() bool {
		return slices.Equal(f.scheduler.results(), []core.Result{core.ResultNotDispatched})
	})
	close(waiting)
}

func TestRunOnceRequestIsNotRetriedAfterEndpointError(t *testing.T) {
	s := startStandins(t, 0, 2)
	f := newFixture(t, s.backend("ledger", "ledger-0"), s.backend("ledger", "ledger-1"))
	s.injectFault("ledger-0", `{"error_rate":1}`)
	got := f.mustDo("POST", "/v1/transfers", `{"from":"a","to":"b","hours":1}`, newKeyHeader())
	expectRefusal(t, got, http.StatusBadGateway, core.OutcomeUnknown, core.ReasonEndpointFailed)
	if got := f.mustDo("GET", "/v1/balances/a", ""); got.status != http.StatusOK {
		t.Fatalf("a retryable read was not retried: %d %s", got.status, got.body)
	}
}

func TestRecordedOutcomeIsReplayed(t *testing.T) {
	f := newFixture(t)
	f.scheduler.replyTo = func(message.GrantRequest) *message.GrantReply {
		return &message.GrantReply{Prior: &core.PriorOutcome{
			Status: 201, Complete: true, ResponseBody: []byte(`{"ok":1}`), ContentType: "application/json"}}
	}
	got := f.mustDo("POST", "/v1/transfers", `{}`, newKeyHeader())
	if got.status != 201 || got.body != `{"ok":1}` || got.header.Get("Kingcup-Replayed") != "true" {
		t.Fatalf("%+v", got)
	}
}

func TestHangingSchedulerIsSkipped(t *testing.T) {
	s := startStandins(t, 0, 1)
	f := newFixture(t, s.backend("ledger", "ledger-0"))
	hanging := make(chan struct{})
	hung := startHangingScheduler(t, hanging)
	view := f.view()
	view.Members = []message.Member{f.member(), hung}
	f.publish(view)
	got := f.mustDo("POST", "/v1/transfers", `{"from":"a","to":"b","hours":1}`, newKeyHeader())
	if got.status != http.StatusCreated {
		t.Fatalf("%d %s", got.status, got.body)
	}
	close(hanging)
}

func TestFallbackPlacesOnlyRetryableRequests(t *testing.T) {
	s := startStandins(t, 1, 1)
	f := newFixture(t, s.backend("models", "engine-0"), s.backend("ledger", "ledger-0"))
	f.publish(&control.View{Manifest: f.view().Manifest, ManifestVersion: 1})
	got := f.mustDo("POST", "/v1/completions", `{"model":"chat","prompt":"hello","max_tokens":8,"stream":true}`)
	expectCompleteStream(t, got, 8)
	// Without the journal it is unknown whether an earlier request with the
	// key has run, so the caller must not be told "not run".
	got = f.mustDo("POST", "/v1/transfers", `{}`, newKeyHeader(), "Kingcup-Deadline-Ms: 500")
	expectRefusal(t, got, http.StatusServiceUnavailable, core.OutcomeUnknown, core.ReasonJournalUnavailable)
	if runs := s.engineStats("ledger-0").Started; runs != 0 {
		t.Fatalf("the ledger started %d runs", runs)
	}
}

func TestDrainFinishesRequestsInProgress(t *testing.T) {
	s := startStandins(t, 1, 0)
	f := newFixture(t, s.backend("models", "engine-0"))
	s.injectFault("engine-0", `{"slow_factor":4}`)
	wait := f.background("POST", "/v1/completions", draftRequest, newKeyHeader())
	eventually(t, "the run has started", func() bool { return s.engineStats("engine-0").Started == 1 })
	f.stop()
	expectCompleteStream(t, wait(), 40)
	if results := f.scheduler.results(); !slices.Equal(results, []core.Result{core.ResultOK}) {
		t.Fatalf("reports were not flushed: %v", results)
	}
}

func TestResendWithKeyKeepsRequestID(t *testing.T) {
	s := startStandins(t, 0, 1)
	f := newFixture(t, s.backend("ledger", "ledger-0"))
	key := "Idempotency-Key: " + uuid.Must(uuid.NewV7()).String()
	first := f.mustDo("POST", "/v1/transfers", `{}`, key)
	second := f.mustDo("POST", "/v1/transfers", `{}`, key)
	if first.header.Get("X-Request-Id") != second.header.Get("X-Request-Id") {
		t.Fatal("the ids differ")
	}
}

func (f *fixture) view() *control.View {
	return &control.View{Manifest: f.manifest, ManifestVersion: 1, Members: []message.Member{f.member()}}
}

// background starts a request; the returned function waits for its response.
func (f *fixture) background(method, path, body string, headers ...string) func() callResult {
	return f.backgroundContext(f.t.Context(), method, path, body, headers...)
}

func (f *fixture) backgroundContext(ctx context.Context, method, path, body string, headers ...string) func() callResult {
	results := make(chan callResult, 1)
	go func() {
		got, err := f.do(ctx, method, path, body, headers...)
		if err != nil && ctx.Err() == nil {
			f.t.Errorf("%s %s: %v", method, path, err)
		}
		results <- got
	}()
	return func() callResult {
		select {
		case got := <-results:
			return got
		case <-time.After(30 * time.Second):
			f.t.Error("no response within 30 s")
			return callResult{}
		}
	}
}

func TestRunOnceRequestWaitsForJournalTakeover(t *testing.T) {
	s := startStandins(t, 0, 1)
	f := newFixture(t, s.backend("ledger", "ledger-0"))
	calls := 0
	f.scheduler.replyTo = func(message.GrantRequest) *message.GrantReply {
		if calls++; calls > 3 {
			return nil
		}
		refusal := message.Refusal{Refusal: *core.Refuse(core.ReasonJournalUnavailable, "not owned yet")}
		return &message.GrantReply{Refusal: &refusal}
	}
	if got := f.mustDo("POST", "/v1/transfers", `{}`, newKeyHeader()); got.status != http.StatusCreated {
		t.Fatalf("%d %s", got.status, got.body)
	}
}

func TestRunOnceRequestCompletesAfterFreeze(t *testing.T) {
	s := startStandins(t, 1, 0)
	f := newFixture(t, s.backend("models", "engine-0"))
	s.injectFault("engine-0", `{"slow_factor":2}`)
	wait := f.background("POST", "/v1/completions", draftRequest, newKeyHeader())
	eventually(t, "the run has started", func() bool { return s.engineStats("engine-0").Started == 1 })
	s.injectFault("engine-0", `{"freeze":true}`)
	time.Sleep(2500 * time.Millisecond) // long enough for the progress timeout and a failed probe
	s.injectFault("engine-0", `{"freeze":false}`)
	expectCompleteStream(t, wait(), 40)
}

func TestRunOnceServiceCallContinuesAfterCallerDisconnect(t *testing.T) {
	s := startStandins(t, 0, 1)
	f := newFixture(t, s.backend("ledger", "ledger-0"))
	s.injectFault("ledger-0", `{"slow_factor":100}`)
	ctx, cancel := context.WithCancel(t.Context())
	f.backgroundContext(ctx, "POST", "/v1/transfers", `{"from":"a","to":"b","hours":1}`, newKeyHeader())
	eventually(t, "the grant", func() bool { return len(f.scheduler.grantRequests()) == 1 })
	time.Sleep(100 * time.Millisecond)
	cancel()
	eventually(t, "the outcome with its response", func() bool {
		f.scheduler.mu.Lock()
		defer f.scheduler.mu.Unlock()
		return len(f.scheduler.outcomes) == 1 && f.scheduler.outcomes[0].Result == core.ResultOK &&
			f.scheduler.outcomes[0].Status == http.StatusCreated && len(f.scheduler.outcomes[0].ResponseBody) > 0
	})
}

func TestKilledDutiesKeepTheirState(t *testing.T) {
	s := startStandins(t, 1, 0)
	f := newFixture(t, s.backend("models", "engine-0"))
	s.injectFault("engine-0", `{"slow_factor":2}`)
	wait := f.background("POST", "/v1/completions", draftRequest, newKeyHeader())
	eventually(t, "the run has started", func() bool { return s.engineStats("engine-0").Started == 1 })
	for _, path := range []string{"admission", "fallback", "reports/owner", "reports/sender-0"} {
		if err := f.entry.Kill(path); err != nil {
			t.Fatal(err)
		}
	}
	expectCompleteStream(t, wait(), 40)
	expectCompleteStream(t, f.mustDo("POST", "/v1/completions", draftRequest, newKeyHeader()), 40)
	eventually(t, "both outcomes", func() bool {
		return slices.Equal(f.scheduler.results(), []core.Result{core.ResultOK, core.ResultOK})
	})
}
