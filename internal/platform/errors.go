package platform

import (
	"context"
	"encoding/json"
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
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable means that the platform did not execute the call: it is
	// down, slow or unreachable.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown means that a write may have been applied.
	ErrOutcomeUnknown = errors.New("platform: outcome unknown")
	// ErrTooLarge means that a value exceeds MaxValueBytes, or the changes of a watch
	// maxWatchBytes.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrHistoryGone means that the store no longer has the changes after a
	// watch's revision; the objects must be listed again.
	ErrHistoryGone = errors.New("platform: history gone")
	// ErrRejected means that the platform did not accept the call as valid.
	ErrRejected = errors.New("platform: call rejected")
)

// defaultRetryAfter applies to a rate limit response without Retry-After.
const defaultRetryAfter = time.Second

// maxErrorBodyBytes limits the body of an error response kept for the log.
const maxErrorBodyBytes = 512

// ConflictError means that the condition of a write was not met.
type ConflictError struct {
	// Version is the object's current version, zero if there is no object.
	Version uint64 `json:"version"`
	// Value is the object's current value, in stores that send it.
	Value json.RawMessage `json:"-"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: conflict: the object is at version %d", e.Version)
}

// RateLimitedError means that the platform did not execute the call because of
// a rate limit.
type RateLimitedError struct {
	// RetryAfter is how long to wait before the next call.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform: rate limited for %v", e.RetryAfter)
}

// transportError classifies a call without a complete response. After a
// timeout the idle connections are closed too, because whatever stalled one
// connection may have lost the state of all of them.
func (c *Client) transportError(method string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
		c.transport.CloseIdleConnections()
	}
	if method == http.MethodGet || notSent(err) {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return eris.Wrap(ErrOutcomeUnknown, err.Error())
}

// notSent reports whether a call failed before any byte of it was sent.
func notSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// statusError classifies a response with a status other than 200 or 201.
func (c *Client) statusError(method string, response *http.Response, era uint64) error {
	switch response.StatusCode {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return c.conflict(response, era)
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

func (c *Client) conflict(response *http.Response, era uint64) error {
	body, err := codec.ReadLimited(response.Body, maxAnswerBytes)
	if err != nil {
		return eris.Wrapf(ErrOutcomeUnknown, "read conflict response: %v", err)
	}
	current, err := c.dialect.DecodeConflict(body)
	if err != nil {
		return eris.Wrapf(ErrOutcomeUnknown, "decode conflict response: %v", err)
	}
	return &ConflictError{Version: inEra(era, current.Version), Value: current.Value}
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
