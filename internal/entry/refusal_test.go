package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sebdah/goldie/v2"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/message"
)

var idPattern = regexp.MustCompile(`"request_id":"[0-9a-f-]{36}"`)

// keyHeaderWithAge returns an idempotency key header whose UUIDv7 has the
// given age.
func keyHeaderWithAge(age time.Duration) string {
	milliseconds := time.Now().Add(-age).UnixMilli()
	id := uuid.Must(uuid.NewV7())
	for i := range 6 {
		id[i] = byte(milliseconds >> (8 * (5 - i)))
	}
	return "Idempotency-Key: " + id.String()
}

func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	shared := newFixture(t)
	const chat = `{"model":"chat","prompt":"p","max_tokens":1}`
	for _, c := range []struct {
		name, method, path, body string
		status                   int
		headers                  []string
	}{
		{"wrong_key", "POST", "/v1/completions", chat, 401, []string{"Authorization: Bearer other"}},
		{"no_key", "POST", "/v1/completions", chat, 401, []string{"Authorization: "}},
		{"unknown_path", "GET", "/v2/none", "", 404, nil},
		{"dotted_path", "GET", "/v1/balances/../transfers", "", 404, nil},
		{"unknown_model", "POST", "/v1/completions", `{"model":"none","prompt":"p"}`, 404, nil},
		{"oversize", "POST", "/v1/completions", `{"model":"chat","prompt":"` + strings.Repeat("p", 70_000) + `"}`, 413, nil},
		{"huge", "POST", "/v1/completions", strings.Repeat("p", 2<<20), 413, nil},
		{"malformed_json", "POST", "/v1/completions", `{"model":`, 400, nil},
		{"no_prompt", "POST", "/v1/completions", `{"model":"chat"}`, 400, nil},
		{"negative_tokens", "POST", "/v1/completions", `{"model":"chat","prompt":"p","max_tokens":-1}`, 400, nil},
		{"past_deadline", "POST", "/v1/completions", chat, 504, []string{"Kingcup-Deadline-Ms: 0"}},
		{"bad_deadline", "POST", "/v1/completions", chat, 400, []string{"Kingcup-Deadline-Ms: soon"}},
		{"bad_tier", "POST", "/v1/completions", chat, 400, []string{"Kingcup-Tier: first"}},
		{"key_missing", "POST", "/v1/transfers", "{}", 400, nil},
		{"key_not_uuid7", "POST", "/v1/transfers", "{}", 400, []string{"Idempotency-Key: 3"}},
		{"key_expired", "POST", "/v1/transfers", "{}", 422, []string{keyHeaderWithAge(2 * time.Hour)}},
		{"key_of_the_future", "POST", "/v1/transfers", "{}", 400, []string{keyHeaderWithAge(-time.Minute)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := shared.mustDo(c.method, c.path, c.body, c.headers...)
			if got.status != c.status || got.header.Get("Kingcup-Disposition") != string(core.NotRun) {
				t.Fatalf("%d %s", got.status, got.body)
			}
			goldie.New(t).Assert(t, c.name, idPattern.ReplaceAll([]byte(got.body), []byte(`"request_id":"ID"`)))
			if requests := shared.scheduler.grantRequests(); len(requests) != 0 {
				t.Fatalf("the scheduler was asked: %+v", requests)
			}
		})
	}
}

func TestSchedulerRefusalIsForwarded(t *testing.T) {
	f := newFixture(t)
	f.scheduler.replyTo = func(message.GrantRequest) *message.GrantReply {
		refusal := message.Refusal{Refusal: *core.RefuseWithRetry(core.ReasonShed, "overload", 0), RetryAfterMS: 1500}
		return &message.GrantReply{Refusal: &refusal}
	}
	got := f.mustDo("POST", "/v1/completions", draftRequest, newKeyHeader())
	expectRefusal(t, got, http.StatusServiceUnavailable, core.NotRun, core.ReasonShed)
	if got.header.Get("Retry-After") != "2" || !strings.Contains(got.body, `"retry_after_ms":1500`) {
		t.Fatalf("%v %s", got.header, got.body)
	}
}

func TestSlowRequestBodyIsRefused(t *testing.T) {
	f := newFixture(t)
	connection, err := net.Dial("tcp", f.entry.CallersAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_, _ = fmt.Fprintf(connection, "POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"+
		"Authorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", testKey)
	_ = connection.SetReadDeadline(time.Now().Add(20 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	expectRefusal(t, callResult{response.StatusCode, response.Header, string(body)},
		http.StatusBadRequest, core.NotRun, core.ReasonBadRequest)
}
