// Package platform is the client of the platform's object API, which keeps
// what must last: the manifest, journals, leases, verdicts and status.
//
// Every write is conditional. A write whose answer is lost has an unknown
// outcome, which Put reports as ErrOutcomeUnknown and PutRecover resolves by
// reading back.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/codec"
)

const (
	// DefaultCallTimeout bounds one Get or Put.
	DefaultCallTimeout = 2 * time.Second
	// WatchMargin is how much longer than the asked wait a watch may take
	// before its connection is taken for silent.
	WatchMargin = 2 * time.Second
	// MaxWatchWait is the longest wait that a watch may ask for.
	MaxWatchWait = 30 * time.Second
	// MaxValueBytes limits the value of an object.
	MaxValueBytes = 1 << 20
	// maxAnswerBytes limits one answer; a watch may carry many objects.
	maxAnswerBytes = 64 << 20
)

// Object is one object of the platform.
type Object struct {
	Key string `json:"key"`
	// Version is positive; a later write, to any object, has a higher one.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Changes is the answer to a watch.
type Changes struct {
	// Revision is what to pass as after next.
	Revision uint64 `json:"revision"`
	// Objects holds the newest value of each changed object, the oldest
	// change first.
	Objects []Object `json:"objects"`
}

// Client calls the object API. It is safe for concurrent use. A process
// builds one and keeps it.
type Client struct {
	base      string
	timeout   time.Duration
	transport *http.Transport
	http      *http.Client
}

// New returns a client for the API at a base URL, with DefaultCallTimeout.
func New(base string) *Client {
	transport := codec.NewTransport(MaxWatchWait + WatchMargin)
	return &Client{
		base:      strings.TrimSuffix(base, "/"),
		timeout:   DefaultCallTimeout,
		transport: transport,
		http:      &http.Client{Transport: transport},
	}
}

// WithTimeout returns a client that shares the connections of c and bounds
// each Get or Put by another time.
func (c *Client) WithTimeout(timeout time.Duration) *Client {
	other := *c
	other.timeout = timeout
	return &other
}

// Get reads an object. It fails with ErrNotFound, ErrUnavailable or
// *RateLimitedError.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var object Object
	err := c.call(ctx, http.MethodGet, objectPath(key), nil, &object)
	return object, eris.Wrapf(err, "get %s", key)
}

// Put writes an object if its version is still ifVersion, zero for an object
// that must not exist, and returns the new version. It fails with
// *ConflictError, ErrUnavailable or *RateLimitedError when the write did not
// take effect, and with ErrOutcomeUnknown when it may have.
func (c *Client) Put(ctx context.Context, key string, ifVersion uint64, value any) (uint64, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return 0, eris.Wrapf(err, "put %s", key)
	}
	if len(body) > MaxValueBytes {
		return 0, eris.Wrapf(ErrTooLarge, "put %s: %d bytes", key, len(body))
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	path := objectPath(key) + "?if_version=" + strconv.FormatUint(ifVersion, 10)
	var answer struct {
		Version uint64 `json:"version"`
	}
	err = c.call(ctx, http.MethodPut, path, body, &answer)
	return answer.Version, eris.Wrapf(err, "put %s", key)
}

// Watch waits until an object under the prefix has a version above after, or
// the wait passes (MaxWatchWait at most). A zero wait only reads. If the
// connection goes silent, Watch fails with ErrUnavailable a WatchMargin after
// the wait, and the next call uses a new connection.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	wait = min(wait, MaxWatchWait)
	ctx, cancel := context.WithTimeout(ctx, wait+WatchMargin)
	defer cancel()
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(after, 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var changes Changes
	err := c.call(ctx, http.MethodGet, "/v1/watch?"+query.Encode(), nil, &changes)
	return changes, eris.Wrapf(err, "watch %s", prefix)
}

func objectPath(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/v1/objects/" + strings.Join(segments, "/")
}

// call does one exchange and decodes a 200 answer.
func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	var reader io.Reader
	if body != nil {
		reader = strings.NewReader(string(body))
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return c.transportError(method, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(method, response)
	}
	if err := codec.Decode(response.Body, maxAnswerBytes, answer); err != nil {
		return c.transportError(method, err)
	}
	return nil
}
