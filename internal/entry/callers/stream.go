package callers

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/entry/completions"
	"kingcupcourse/internal/entry/reports"
)

// progressInterval is the minimum time between two progress messages of an
// attempt.
const progressInterval = 250 * time.Millisecond

var (
	errCallerWrite = eris.New("write to the caller failed")
	errEventGap    = eris.New("an event of the stream is missing")
	errUnfinished  = eris.New("the stream ended without a finish reason")
	errMalformed   = eris.New("the stream holds a malformed event")
)

// streamState is the state of one stream across its connections.
type streamState struct {
	// body is the current connection; it is nil if the last one failed with
	// err.
	body         io.ReadCloser
	err          error
	dispatchedAt time.Time
	// lastEventID is the id of the last relayed event.
	lastEventID        int
	finished           bool
	firstToken         time.Duration
	progressReportedAt time.Time
	// deathRecorded is set once a death of the endpoint has been recorded.
	deathRecorded bool
}

// relayStream relays the events of a run until the last one. It resumes on a
// new connection when one is closed or goes silent.
func (c *call) relayStream(ctx context.Context, grant core.Grant, s *streamState) attemptEnd {
	for {
		if s.body != nil {
			s.err = c.relayEvents(s)
			_ = s.body.Close()
		}
		switch {
		case s.err == nil:
			return c.endStream(s)
		case ctx.Err() != nil, errors.Is(s.err, errCallerWrite):
			return withStreamStats(c.endCancelled(grant), s)
		case errors.Is(s.err, errMalformed):
			return withStreamStats(attemptEnd{result: core.ResultFailed, reason: core.ReasonResponseIncomplete,
				detail: s.err.Error()}, s)
		}
		if end, ok := c.resume(ctx, grant, s); !ok {
			return withStreamStats(end, s)
		}
	}
}

func withStreamStats(end attemptEnd, s *streamState) attemptEnd {
	end.outputTokens, end.firstToken = s.lastEventID, s.firstToken
	return end
}

// relayEvents relays events until the end of the stream (nil) or an error.
func (c *call) relayEvents(s *streamState) error {
	events := completions.NewEventReader(s.body)
	for {
		event, err := events.Next()
		switch {
		case errors.Is(err, completions.ErrEventID), errors.Is(err, completions.ErrEventTooLarge):
			return errMalformed
		case errors.Is(err, io.EOF):
			return errUnfinished
		case err != nil:
			return err
		case event.IsDone() && !s.finished:
			return errUnfinished
		case event.IsDone():
			return c.sink.addEnd(event)
		}
		if err := c.relayEvent(s, event); err != nil {
			return err
		}
	}
}

// relayEvent relays an event unless it has been relayed before. Event ids
// count from 1 without gaps.
func (c *call) relayEvent(s *streamState, event completions.Event) error {
	switch {
	case event.ID == 0:
		return errMalformed
	case event.ID <= s.lastEventID:
		return nil
	case event.ID != s.lastEventID+1:
		return errEventGap
	}
	if err := c.sink.addEvent(event); err != nil {
		return err
	}
	s.lastEventID = event.ID
	s.finished = s.finished || completions.HasFinishReason(event.Data)
	now := time.Now()
	if s.firstToken == 0 && !s.dispatchedAt.IsZero() {
		s.firstToken = now.Sub(s.dispatchedAt)
		firstTokenSeconds.WithLabelValues(c.ticket.Route, c.tierLabel()).Observe(now.Sub(c.started).Seconds())
	}
	if now.Sub(s.progressReportedAt) >= progressInterval {
		s.progressReportedAt = now
		_ = c.h.Reports.TryPut(reports.AttemptProgress{Shard: c.ticket.Shard, Attempt: c.attempt, OutputTokens: s.lastEventID})
	}
	return nil
}

// endStream ends the attempt of a complete stream.
func (c *call) endStream(s *streamState) attemptEnd {
	end := withStreamStats(attemptEnd{result: core.ResultOK}, s)
	var err error
	if end.response, err = c.sink.response(); err != nil {
		end.result, end.reason, end.detail = core.ResultFailed, core.ReasonResponseIncomplete, err.Error()
	}
	return end
}
