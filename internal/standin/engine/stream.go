package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"kingcupcourse/internal/standin/faultserver"
)

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	after, err := parseEventNumber(r.Header.Get(headerLastEventID))
	if err != nil {
		faultserver.WriteError(w, http.StatusBadRequest, "Last-Event-ID is a whole number from 0")
		return
	}
	// Waiting for tokens after -1 returns the current progress at once.
	p, err := e.await(r, r.PathValue("id"), -1)
	if err != nil {
		writeError(w, err)
		return
	}
	e.writeStream(w, r, p, int(min(after, int64(p.outputTokens))))
}

// writeStream skips the first sent tokens and writes the events of the others
// until the run ends.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, p progress, sent int) {
	cut, err := e.server.CutStream(r.Context())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	last := p.outputTokens
	if cut {
		last = sent + (p.outputTokens-sent)/2
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(headerVersion, p.version)
	w.WriteHeader(http.StatusOK)
	flush(w)
	for sent < last {
		if p, err = e.await(r, p.id, sent); err != nil {
			panic(http.ErrAbortHandler)
		}
		sent = sendEvents(w, p, sent, min(p.produced, last))
	}
	if cut {
		panic(http.ErrAbortHandler)
	}
	if _, err = w.Write([]byte("data: [DONE]\n\n")); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// sendEvents writes the events of the tokens with from <= index < to in one
// write, and returns to.
func sendEvents(w http.ResponseWriter, p progress, from, to int) int {
	var events bytes.Buffer
	for i := from; i < to; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: ", i+1)
		// The body can always be encoded. Encode ends the line.
		_ = json.NewEncoder(&events).Encode(eventBody(p, i))
		events.WriteByte('\n')
	}
	if _, err := w.Write(events.Bytes()); err != nil {
		panic(http.ErrAbortHandler)
	}
	flush(w)
	return to
}

func flush(w http.ResponseWriter) {
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}
