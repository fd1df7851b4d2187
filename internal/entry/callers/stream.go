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

// relay is the state of one stream over all its connections.
type relay struct {
	// body is the connection in use, nil if it was lost because of cause.
	body       io.ReadCloser
	cause      error
	dispatched time.Time
	// last is the id of the last event passed on.
	last     int
	finished bool
	first    time.Duration
	reported time.Time
	// marked tells that the request has been marked for a dead endpoint.
	marked bool
}

// followStream passes the events of a run on until the last one, resuming on
// a new connection when one is cut or goes silent.
func (c *call) followStream(ctx context.Context, grant core.Grant, r *relay) ending {
	for {
		if r.body != nil {
			r.cause = c.pass(r)
			_ = r.body.Close()
		}
		switch {
		case r.cause == nil:
			return c.streamEnded(r)
		case ctx.Err() != nil, errors.Is(r.cause, errCallerWrite):
			return measured(c.cancelled(grant), r)
		case errors.Is(r.cause, errMalformed):
			return measured(ending{result: core.ResultFailed, reason: core.ReasonAnswerIncomplete,
				detail: r.cause.Error()}, r)
		}
		if end, ok := c.resume(ctx, grant, r); !ok {
			return measured(end, r)
		}
	}
}

func measured(end ending, r *relay) ending {
	end.tokens, end.firstToken = r.last, r.first
	return end
}

// pass passes events on until the end of the stream (nil) or of the
// connection.
func (c *call) pass(r *relay) error {
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
		case event.Done() && !r.finished:
			return errUnfinished
		case event.Done():
			return c.sink.end(event)
		}
		if err := c.passOne(r, event); err != nil {
			return err
		}
	}
}

// passOne passes an event on unless it has been passed before. Events count
// from 1 without gaps.
func (c *call) passOne(r *relay, event completions.Event) error {
	switch {
	case event.ID == 0:
		return errMalformed
	case event.ID <= r.last:
		return nil
	case event.ID != r.last+1:
		return errEventGap
	}
	if err := c.sink.event(event); err != nil {
		return err
	}
	r.last = event.ID
	r.finished = r.finished || completions.Finished(event.Data)
	now := time.Now()
	if r.first == 0 && !r.dispatched.IsZero() {
		r.first = now.Sub(r.dispatched)
		firstTokenSeconds.WithLabelValues(c.ticket.Route, c.tierLabel()).Observe(now.Sub(c.started).Seconds())
	}
	if now.Sub(r.reported) >= progressInterval {
		r.reported = now
		_ = c.h.Reports.TryPut(reports.Progress{Shard: c.ticket.Shard, Attempt: c.attempt, OutputTokens: r.last})
	}
	return nil
}

// streamEnded is the end of a stream that came whole.
func (c *call) streamEnded(r *relay) ending {
	end := measured(ending{result: core.ResultOK}, r)
	var err error
	if end.answer, err = c.sink.whole(); err != nil {
		end.result, end.reason, end.detail = core.ResultFailed, core.ReasonAnswerIncomplete, err.Error()
	}
	return end
}
