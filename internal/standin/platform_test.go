package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"kingcupcourse/internal/standin/platform"
)

func startPlatform(t *testing.T) *testFleet {
	t.Helper()
	return startFleet(t, Fleet{Platform: &platform.Config{Name: "platform", Address: "127.0.0.1:0",
		Objects: []platform.Object{{Key: "manifest", Value: json.RawMessage(`{"a":1}`)}}}})
}

func (f *testFleet) putObject(want int, key string, expected int, value string) httpResult {
	f.t.Helper()
	return f.call(want, "PUT", "platform", fmt.Sprintf("/v1/objects/%s?if_version=%d", key, expected), value)
}

type objectVersion struct {
	Version int64 `json:"version"`
}

type watchBody struct {
	Revision int64           `json:"revision"`
	Objects  []objectVersion `json:"objects"`
}

func TestPlatformConditionalWrites(t *testing.T) {
	f := startPlatform(t)
	if got := f.putObject(200, "leases/a", 0, `1`).body; got != "{\"version\":2}\n" {
		t.Fatalf("got %s", got)
	}
	if got := f.putObject(409, "leases/a", 0, `2`).body; got != "{\"version\":2}\n" {
		t.Fatalf("got %s", got)
	}
	f.putObject(200, "leases/a", 2, `{"x":"<"}`)
	if got := f.call(200, "GET", "platform", "/v1/objects/leases/a", "").body; got != `{"key":"leases/a","version":3,"value":{"x":"<"}}`+"\n" {
		t.Fatalf("got %s", got)
	}
	f.call(404, "GET", "platform", "/v1/objects/none", "")
	f.putObject(413, "big", 0, `"`+strings.Repeat("x", 1<<20)+`"`)
	f.putObject(400, "bad", 0, `{`)
	if s := stats[platform.Stats](f, "platform"); s.Writes != 3 || s.Conflicts != 1 || s.Reads != 2 {
		t.Fatalf("stats %+v", s)
	}
}

func TestPlatformWatchReturnsChangesUnderItsPrefix(t *testing.T) {
	f := startPlatform(t)
	first := decode[watchBody](t, f.call(200, "GET", "platform", "/v1/watch?prefix=man&after=0&timeout_ms=5000", ""))
	if first.Revision != 1 || len(first.Objects) != 1 {
		t.Fatalf("got %+v", first)
	}
	later := f.background("GET", "platform", "/v1/watch?prefix=journal/&after=1&timeout_ms=4000", "")
	eventually(t, "the watch waits", func() bool { return stats[platform.Stats](f, "platform").Watches == 2 })
	f.putObject(200, "other", 0, `1`)
	f.putObject(200, "journal/p/1", 0, `1`)
	got, err := later.Wait(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if w := decode[watchBody](t, got); w.Revision != 3 || len(w.Objects) != 1 || w.Objects[0].Version != 3 {
		t.Fatalf("got %+v", w)
	}
	empty := f.call(200, "GET", "platform", "/v1/watch?prefix=journal/&after=3&timeout_ms=20", "")
	if empty.body != `{"revision":3,"objects":[]}`+"\n" {
		t.Fatalf("got %s", empty.body)
	}
}

func TestPlatformOutage(t *testing.T) {
	f := startPlatform(t)
	waiting := f.background("GET", "platform", "/v1/watch?prefix=x&timeout_ms=4000", "")
	eventually(t, "the watch waits", func() bool { return stats[platform.Stats](f, "platform").Watches == 1 })
	f.setFault("platform", `{"outage":true}`)
	f.call(503, "GET", "platform", "/v1/objects/manifest", "")
	f.putObject(503, "x", 0, `1`)
	if got, err := waiting.Wait(t.Context()); err != nil || got.status != 503 {
		t.Fatalf("got %+v, %v", got, err)
	}
	f.setFault("platform", `{"outage":false}`)
	f.putObject(200, "x", 0, `1`)
}

func TestPlatformDelay(t *testing.T) {
	f := startPlatform(t)
	f.setFault("platform", `{"delay_ms":60}`)
	begun := time.Now()
	f.call(200, "GET", "platform", "/v1/objects/manifest", "")
	if took := time.Since(begun); took < 60*time.Millisecond {
		t.Fatalf("took %v", took)
	}
}

func TestPlatformDropsResponsesOfAppliedWrites(t *testing.T) {
	f := startPlatform(t)
	f.setFault("platform", `{"lose_answers":1}`)
	if got, err := f.try("PUT", "platform", "/v1/objects/a?if_version=0", `1`); err == nil {
		t.Fatalf("answered %+v", got)
	}
	f.putObject(409, "a", 0, `2`)
	f.putObject(200, "a", 2, `2`)
}

func TestPlatformStaleReads(t *testing.T) {
	f := startPlatform(t)
	f.setFault("platform", `{"stale_reads":true}`)
	f.putObject(200, "a", 0, `1`)
	f.call(404, "GET", "platform", "/v1/objects/a", "")
	f.putObject(409, "a", 0, `2`)
	f.setFault("platform", `{"stale_reads":false}`)
	f.call(200, "GET", "platform", "/v1/objects/a", "")
}

func TestPlatformRateLimits(t *testing.T) {
	f := startPlatform(t)
	f.setFault("platform", `{"writes_per_second":0.01,"reads_per_second":2}`)
	f.putObject(200, "a", 0, `1`)
	if got := f.putObject(429, "a", 2, `2`); got.header.Get("Retry-After") == "" {
		t.Fatal("no Retry-After")
	}
	for range 2 {
		f.call(200, "GET", "platform", "/v1/objects/a", "")
	}
	f.call(429, "GET", "platform", "/v1/objects/a", "")
	if s := stats[platform.Stats](f, "platform"); s.Limited != 2 {
		t.Fatalf("stats %+v", s)
	}
}
