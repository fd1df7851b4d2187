package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/codec"
)

var (
	// ErrNotFound means that there is no object with the key.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable means that the platform did not do the call: it is
	// down, slow or out of reach.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect.
	ErrOutcomeUnknown = errors.New("platform: outcome unknown")
	// ErrTooLarge means that a value is above MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrHistoryGone means that the store has dropped the history that a
	// watch asked for; the objects must be listed again.
	ErrHistoryGone = errors.New("platform: history gone")
	// ErrRejected means that the platform did not understand the call.
	ErrRejected = errors.New("platform: refused")
)

// defaultRetryAfter is the wait after a rate limit answer that names none.
const defaultRetryAfter = time.Second

// maxErrorBodyBytes is how much of an error answer is kept for the log.
const maxErrorBodyBytes = 512

// ConflictError means that a conditional write met another version.
type ConflictError struct {
	// Version is the one found, zero if there is no object.
	Version uint64 `json:"version"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: conflict: the object is at version %d", e.Version)
}

// RateLimitedError means that the platform did not do the call because too
// many came.
type RateLimitedError struct {
	// RetryAfter is how long to wait before the next call.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform: rate limited for %v", e.RetryAfter)
}

// transportError classifies a call without a whole answer. After a timeout
// the unused connections are closed too, as whatever made one silent may have
// lost track of them all.
func (c *Client) transportError(method string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
		c.transport.CloseIdleConnections()
	}
	if method == http.MethodGet || notSent(err) {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return eris.Wrap(ErrOutcomeUnknown, err.Error())
}

// notSent tells whether a call failed before any byte of it left.
func notSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// statusError classifies an answer other than 200.
func (c *Client) statusError(method string, response *http.Response) error {
	switch response.StatusCode {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return c.conflict(response)
	case http.StatusTooManyRequests:
		return &RateLimitedError{RetryAfter: retryAfter(response)}
	case http.StatusGone:
		return ErrHistoryGone
	case http.StatusServiceUnavailable:
		return eris.Wrap(ErrUnavailable, "status 503")
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	body, _ := codec.ReadLimited(response.Body, maxErrorBodyBytes)
	cause := ErrRejected
	if response.StatusCode >= http.StatusInternalServerError {
		cause = ErrUnavailable
		if method != http.MethodGet {
			cause = ErrOutcomeUnknown
		}
	}
	return eris.Wrapf(cause, "status %d: %s", response.StatusCode, strings.TrimSpace(string(body)))
}

func (c *Client) conflict(response *http.Response) error {
	body, err := codec.ReadLimited(response.Body, maxAnswerBytes)
	if err != nil {
		return eris.Wrapf(ErrOutcomeUnknown, "conflict without an answer: %v", err)
	}
	version, err := c.dialect.DecodeConflict(body)
	if err != nil {
		return eris.Wrapf(ErrOutcomeUnknown, "conflict without a version: %v", err)
	}
	return &ConflictError{Version: version}
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
