package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"kingcupcourse/internal/standin/engine"
	"kingcupcourse/internal/standin/tokens"
)

func startEngine(t *testing.T, configure func(*engine.Config)) *testFleet {
	t.Helper()
	config := engine.Config{Name: "engine", Address: "127.0.0.1:0", Slots: 2,
		PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1000, RestartMS: 20}
	if configure != nil {
		configure(&config)
	}
	return startFleet(t, Fleet{Engines: []engine.Config{config}})
}

func completion(prompt string, maxTokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, maxTokens, stream)
}

func (f *testFleet) complete(want int, prompt string, maxTokens int, headers ...string) httpResult {
	f.t.Helper()
	return f.call(want, "POST", "engine", "/v1/completions", completion(prompt, maxTokens, false), headers...)
}

// completionBody is a stream event or a complete response.
type completionBody struct {
	Choices []struct {
		Text         string `json:"text"`
		Delta        struct{ Content string }
		Message      struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// streamResult is the combined content of the events of a stream.
type streamResult struct {
	text         string
	ids          []string
	finishReason string
	done         bool
	content      string
}

func parseStream(t *testing.T, body string) (s streamResult) {
	t.Helper()
	for line := range strings.Lines(body) {
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			s.ids = append(s.ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			continue
		}
		var p completionBody
		if err := json.Unmarshal([]byte(data), &p); err != nil {
			t.Fatalf("%v: %s", err, data)
		}
		s.text += p.Choices[0].Text
		s.content += p.Choices[0].Delta.Content
		if p.Choices[0].FinishReason != nil {
			s.finishReason = *p.Choices[0].FinishReason
		}
	}
	return s
}

func TestEngineStreamsEveryTokenAndResumes(t *testing.T) {
	f := startEngine(t, nil)
	got := f.call(200, "POST", "engine", "/v1/completions", completion("p [tokens=5]", 9, true), "X-Request-Id: r")
	s := parseStream(t, got.body)
	if s.text != tokens.ExpectedText("p [tokens=5]", 5) || strings.Join(s.ids, "") != "12345" || s.finishReason != "stop" || !s.done {
		t.Fatalf("got %+v", s)
	}
	if got.header.Get("X-Engine-Version") != "v1" {
		t.Fatalf("headers %v", got.header)
	}
	rest := parseStream(t, f.call(200, "GET", "engine", "/v1/runs/r/stream", "", "Last-Event-ID: 3").body)
	if rest.text != s.text[3*tokens.BytesPerToken:] || strings.Join(rest.ids, "") != "45" || !rest.done {
		t.Fatalf("got %+v", rest)
	}
	f.call(404, "GET", "engine", "/v1/runs/none/stream", "")
	f.complete(409, "again", 1, "X-Request-Id: r")
}

func TestEngineChatWithAndWithoutStreaming(t *testing.T) {
	f := startEngine(t, nil)
	want := tokens.ExpectedText("user: hi\n", 3)
	body := `{"messages":[{"role":"user","content":"hi"}],"max_tokens":3,"stream":%t}`
	response := decode[completionBody](t, f.call(200, "POST", "engine", "/v1/chat/completions", fmt.Sprintf(body, false)))
	if response.Choices[0].Message.Content != want || response.Usage.CompletionTokens != 3 || *response.Choices[0].FinishReason != "length" {
		t.Fatalf("got %+v", response)
	}
	s := parseStream(t, f.call(200, "POST", "engine", "/v1/chat/completions", fmt.Sprintf(body, true)).body)
	if s.content != want {
		t.Fatalf("got %+v", s)
	}
	f.call(400, "POST", "engine", "/v1/completions", `{"prompt":""}`)
	f.complete(400, "too long", 1<<20)
}

func TestEngineCancelsRun(t *testing.T) {
	f := startEngine(t, nil)
	running := f.background("POST", "engine", "/v1/completions", completion("long", 4000, false), "X-Request-Id: r")
	eventually(t, "the run starts", func() bool { return stats[engine.Stats](f, "engine").DecodeTokens > 0 })
	f.call(204, "DELETE", "engine", "/v1/runs/r", "")
	f.call(204, "DELETE", "engine", "/v1/runs/r", "")
	if got, err := running.Wait(t.Context()); err != nil || got.status != 410 {
		t.Fatalf("got %+v, %v", got, err)
	}
	f.complete(409, "again", 1, "X-Request-Id: r")
	f.call(410, "GET", "engine", "/v1/runs/r/stream", "")
	if s := stats[engine.Stats](f, "engine"); s.Cancelled != 1 || s.WastedPrefillTokens != 1 || s.Runs["r"] != 1 {
		t.Fatalf("stats %+v", s)
	}
}

func TestEngineDownFaultLosesState(t *testing.T) {
	f := startEngine(t, nil)
	f.complete(200, "p", 1, "X-Request-Id: r")
	running := f.background("POST", "engine", "/v1/completions", completion("long", 4000, true))
	eventually(t, "the run starts", func() bool { return stats[engine.Stats](f, "engine").DecodeTokens > 1 })
	f.setFault("engine", `{"down":true}`)
	if got, err := running.Wait(t.Context()); err == nil {
		t.Fatalf("the open stream was not cut: %+v", got.status)
	}
	if _, err := f.try("GET", "engine", "/healthz", ""); err == nil {
		t.Fatal("the engine still accepts connections")
	}
	f.setFault("engine", `{"down":false}`)
	f.complete(200, "p", 1, "X-Request-Id: r")
	if s := stats[engine.Stats](f, "engine"); s.Runs["r"] != 2 || s.Lost != 1 || s.Crashes != 1 {
		t.Fatalf("stats %+v", s)
	}
}

func TestEngineCrashesOnMatchingPrompt(t *testing.T) {
	f := startEngine(t, nil)
	f.setFault("engine", `{"crash_on":"poison"}`)
	if got, err := f.try("POST", "engine", "/v1/completions", completion("some poison", 5, false)); err == nil {
		t.Fatalf("answered %+v", got)
	}
	eventually(t, "the engine restarts", func() bool {
		got, err := f.try("GET", "engine", "/healthz", "")
		return err == nil && got.status == 200
	})
	f.complete(200, "fine", 1)
	if s := stats[engine.Stats](f, "engine"); s.Crashes != 1 || s.Lost != 1 {
		t.Fatalf("stats %+v", s)
	}
}

func TestEngineSlowFactor(t *testing.T) {
	f := startEngine(t, nil)
	f.setFault("engine", `{"slow_factor":20}`)
	started := time.Now()
	f.complete(200, "p", 5)
	if elapsed := time.Since(started); elapsed < 100*time.Millisecond {
		t.Fatalf("took %v", elapsed)
	}
}

func TestEngineFreezeHoldsRequestsUntilUnfrozen(t *testing.T) {
	f := startEngine(t, nil)
	f.setFault("engine", `{"freeze":true}`)
	f.expectNoResponse("GET", "engine", "/healthz", "")
	held := f.background("POST", "engine", "/v1/completions", completion("p", 2, false))
	f.setFault("engine", `{"freeze":false}`)
	if got, err := held.Wait(t.Context()); err != nil || got.status != 200 {
		t.Fatalf("got %+v, %v", got, err)
	}
}

func TestEngineSilentConnectionsSparesNewConnections(t *testing.T) {
	f := startEngine(t, nil)
	f.call(200, "GET", "engine", "/healthz", "")
	f.setFault("engine", `{"silent_connections":true}`)
	f.expectNoResponse("GET", "engine", "/healthz", "")
	f.call(200, "GET", "engine", "/healthz", "")
}

func TestEngineErrorRateByRoute(t *testing.T) {
	f := startEngine(t, nil)
	f.setFault("engine", `{"error_rate":1}`)
	f.complete(500, "p", 1)
	f.call(200, "GET", "engine", "/v1/load", "")
	f.setFault("engine", `{"error_route":"/v1/load"}`)
	f.complete(200, "p", 1)
	f.call(500, "GET", "engine", "/v1/load", "")
}

func TestEngineWrongRate(t *testing.T) {
	f := startEngine(t, nil)
	f.setFault("engine", `{"wrong_rate":1}`)
	got := decode[completionBody](t, f.complete(200, "p", 2))
	if text := got.Choices[0].Text; text == tokens.ExpectedText("p", 2) || len(text) != 2*tokens.BytesPerToken {
		t.Fatalf("got %q", text)
	}
}

func TestEngineCutStreamsCanBeResumed(t *testing.T) {
	f := startEngine(t, nil)
	f.setFault("engine", `{"cut_streams":1}`)
	got, err := f.try("POST", "engine", "/v1/completions", completion("p", 6, true), "X-Request-Id: r")
	if err == nil {
		t.Fatal("the stream was not cut")
	}
	first := parseStream(t, got.body)
	rest := parseStream(t, f.call(200, "GET", "engine", "/v1/runs/r/stream", "", "Last-Event-ID: 3").body)
	if first.text+rest.text != tokens.ExpectedText("p", 6) || len(first.ids) != 3 || !rest.done {
		t.Fatalf("got %+v and %+v", first, rest)
	}
}

func TestEngineFailAfterTimeAndAboveRunning(t *testing.T) {
	f := startEngine(t, nil)
	f.setFault("engine", `{"fail_after_unix_ms":1}`)
	f.complete(500, "p", 1)
	f.call(200, "GET", "engine", "/healthz", "")
	f.setFault("engine", `{"fail_after_unix_ms":0,"fail_above_running":1}`)
	_ = f.background("POST", "engine", "/v1/completions", completion("long", 4000, false), "X-Request-Id: r")
	eventually(t, "the run starts", func() bool { return stats[engine.Stats](f, "engine").Started == 1 })
	f.complete(500, "p", 1)
	f.call(204, "DELETE", "engine", "/v1/runs/r", "")
	f.complete(200, "p", 1)
}

func TestEngineAppliesOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		f := startEngine(t, func(c *engine.Config) { c.CheckFence = checks; c.LoadTimeMS = 30 })
		f.call(200, "POST", "engine", "/v1/orders", `{"order":"leave","fence":7}`)
		if got := f.complete(503, "p", 1); got.header.Get("X-Endpoint-State") != "leaving" {
			t.Fatalf("headers %v", got.header)
		}
		outdated := `{"order":"load","version":"v2","fence":6}`
		if checks {
			if got := f.call(409, "POST", "engine", "/v1/orders", outdated); got.body != "{\"fence\":7}\n" {
				t.Fatalf("got %s", got.body)
			}
			f.complete(503, "p", 1)
			continue
		}
		f.call(200, "POST", "engine", "/v1/orders", outdated)
		if got := f.complete(503, "p", 1); got.header.Get("X-Endpoint-State") != "loading" {
			t.Fatalf("headers %v", got.header)
		}
		eventually(t, "v2 is loaded", func() bool {
			got, err := f.try("POST", "engine", "/v1/completions", completion("p", 1, false))
			return err == nil && got.status == 200 && got.header.Get("X-Engine-Version") == "v2"
		})
		if s := stats[engine.Stats](f, "engine"); len(s.Orders) != 2 || !s.Orders[1].Applied {
			t.Fatalf("orders %+v", s.Orders)
		}
	}
}
