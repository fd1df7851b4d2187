package callers

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kingcupcourse/internal/core"
)

// The disposition of a resend that is refused before the journal has answered
// must not be "not run", because the first request with the key may have run.
func TestDispositionOfRefusalBeforeJournalAnswers(t *testing.T) {
	notReady := core.RefuseWithRetry(core.ReasonNotReady, "no configuration yet", time.Second)
	noJournal := core.RefuseWithRetry(core.ReasonJournalUnavailable, "no scheduler", time.Second)
	late := core.Refuse(core.ReasonDeadlinePassed, "not placed in time")
	malformed := core.Refuse(core.ReasonBadRequest, "not a UUIDv7")
	for _, c := range []struct {
		name            string
		key             string
		journalAnswered bool
		refusal         *core.Refusal
		want            core.Disposition
	}{
		{"not ready", "k", false, notReady, core.OutcomeUnknown},
		{"no journal", "k", false, noJournal, core.OutcomeUnknown},
		{"late", "k", false, late, core.OutcomeUnknown},
		{"journal answered", "k", true, notReady, core.NotRun},
		{"malformed", "k", false, malformed, core.NotRun},
		{"no key", "", false, notReady, core.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			call := newTestCall(t, "POST", "{}", true)
			call.r.Header.Set(headerIdempotencyKey, c.key)
			call.journalAnswered = c.journalAnswered
			call.refuse(c.refusal)
			body := call.w.(*httptest.ResponseRecorder).Body.String()
			if !strings.Contains(body, `"disposition":"`+string(c.want)+`"`) {
				t.Errorf("got %s, want %s", body, c.want)
			}
		})
	}
}
