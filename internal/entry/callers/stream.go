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

// progressInterval is the least time between two progress messages of one
// attempt.
const progressInterval = 250 * time.Millisecond

var (
	errCallerWrite = eris.New("the caller does not take the answer")
	errEventGap    = eris.New("an event of the stream is missing")
	errUnfinished  = eris.New("the stream ended without a finish")
	errMalformed   = eris.New("the stream holds a malformed event")
)

// streamState is the state of one stream over all its connections.
type streamState struct {
	// body is the connection in use, nil if it was lost because of cause.
	body         io.ReadCloser
	err          error
	dispatchedAt time.Time
	// lastEventID is the id of the lastEventID event passed on.
	lastEventID        int
	finished           bool
	firstToken         time.Duration
	progressReportedAt time.Time
	// deathRecorded tells that the request has been deathRecorded for a dead endpoint.
	deathRecorded bool
}

// relayStream passes the events of a run on until the last one, resuming on
// a new connection when one is cut or goes silent.
func (c *call) relayStream(ctx context.Context, grant core.Grant, r *streamState) attemptEnd {
	for {
		if r.body != nil {
			r.err = c.relayEvents(r)
			_ = r.body.Close()
		}
		switch {
		case r.err == nil:
			return c.endStream(r)
		case ctx.Err() != nil, errors.Is(r.err, errCallerWrite):
			return withStreamStats(c.endCancelled(grant), r)
		case errors.Is(r.err, errMalformed):
			return withStreamStats(attemptEnd{result: core.ResultFailed, reason: core.ReasonAnswerIncomplete,
				detail: r.err.Error()}, r)
		}
		if end, ok := c.resume(ctx, grant, r); !ok {
			return withStreamStats(end, r)
		}
	}
}

func withStreamStats(end attemptEnd, r *streamState) attemptEnd {
	end.outputTokens, end.firstToken = r.lastEventID, r.firstToken
	return end
}

// relayEvents passes events on until the end of the stream (nil) or of the
// connection.
func (c *call) relayEvents(r *streamState) error {
	events := completions.NewEventReader(r.body)
	for {
		event, err := events.Next()
		switch {
		case errors.Is(err, completions.ErrEventID), errors.Is(err, completions.ErrEventTooLarge):
			return errMalformed
		case errors.Is(err, io.EOF):
			return errUnfinished
		case err != nil:
			return err
		case event.IsDone() && !r.finished:
			return errUnfinished
		case event.IsDone():
			return c.sink.addEnd(event)
		}
		if err := c.relayEvent(r, event); err != nil {
			return err
		}
	}
}

// relayEvent passes an event on unless it has been passed before. Events count
// from 1 without gaps.
func (c *call) relayEvent(r *streamState, event completions.Event) error {
	switch {
	case event.ID == 0:
		return errMalformed
	case event.ID <= r.lastEventID:
		return nil
	case event.ID != r.lastEventID+1:
		return errEventGap
	}
	if err := c.sink.addEvent(event); err != nil {
		return err
	}
	r.lastEventID = event.ID
	r.finished = r.finished || completions.HasFinishReason(event.Data)
	now := time.Now()
	if r.firstToken == 0 && !r.dispatchedAt.IsZero() {
		r.firstToken = now.Sub(r.dispatchedAt)
		firstTokenSeconds.WithLabelValues(c.ticket.Route, c.tierLabel()).Observe(now.Sub(c.started).Seconds())
	}
	if now.Sub(r.progressReportedAt) >= progressInterval {
		r.progressReportedAt = now
		_ = c.h.Reports.TryPut(reports.AttemptProgress{Shard: c.ticket.Shard, Attempt: c.attempt, OutputTokens: r.lastEventID})
	}
	return nil
}

// endStream is the end of a stream that came whole.
func (c *call) endStream(r *streamState) attemptEnd {
	end := withStreamStats(attemptEnd{result: core.ResultOK}, r)
	var err error
	if end.response, err = c.sink.response(); err != nil {
		end.result, end.reason, end.detail = core.ResultFailed, core.ReasonAnswerIncomplete, err.Error()
	}
	return end
}
