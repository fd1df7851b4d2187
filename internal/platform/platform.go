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
	Version uint64 `json:"version"`
	// Created is the version with which the object was created, zero if the
	// store does not tell.
	Created uint64          `json:"-"`
	Value   json.RawMessage `json:"value"`
	// Status is what the system itself has written beside a value that
	// belongs to another writer, where the store keeps the two apart.
	Status json.RawMessage `json:"-"`
	// Deleted tells that the object is gone as of Version.
	Deleted bool `json:"-"`
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
	dialect   Dialect
	timeout   time.Duration
	transport *http.Transport
	http      *http.Client
}

// New returns a client for the project's own object API at a base URL, with
// DefaultCallTimeout.
func New(base string) *Client { return NewWithDialect(base, nativeDialect{}) }

// NewWithDialect is New for a store that spells its calls in another form.
func NewWithDialect(base string, form Dialect) *Client {
	transport := codec.NewTransport(MaxWatchWait + WatchMargin)
	return &Client{
		base:      strings.TrimSuffix(base, "/"),
		dialect:   form,
		timeout:   DefaultCallTimeout,
		transport: transport,
		http:      &http.Client{Transport: transport},
	}
}

// WithTimeout returns a client that shares the connections of c and bounds
// each Get, List or Put by another time.
func (c *Client) WithTimeout(timeout time.Duration) *Client {
	other := *c
	other.timeout = timeout
	return &other
}

// Get reads an object. It fails with ErrNotFound, ErrUnavailable or
// *RateLimitedError.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	body, err := c.callWithTimeout(ctx, c.timeout, c.dialect.Get(key))
	if err == nil {
		object, err = c.dialect.DecodeObject(key, body)
	}
	return object, eris.Wrapf(err, "get %s", key)
}

// List reads all objects under the prefix, in as many calls as the store's
// pages need. It fails like Get.
func (c *Client) List(ctx context.Context, prefix string) (Changes, error) {
	var list Changes
	after := ""
	for {
		body, err := c.callWithTimeout(ctx, c.timeout, c.dialect.List(prefix, after))
		if err != nil {
			return Changes{}, eris.Wrapf(err, "list %s", prefix)
		}
		page, err := c.dialect.DecodeList(prefix, body)
		if err != nil {
			return Changes{}, eris.Wrapf(err, "list %s", prefix)
		}
		// A change between two pages is seen again by a watch from the
		// first page's revision.
		if after == "" {
			list.Revision = page.Revision
		}
		list.Objects = append(list.Objects, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			return list, nil
		}
		after = page.Objects[len(page.Objects)-1].Key
	}
}

// Put writes an object if its version is still ifVersion, zero for an object
// that must not exist, and returns the new version. It fails with
// *ConflictError, ErrUnavailable or *RateLimitedError when the write did not
// take effect, and with ErrOutcomeUnknown when it may have.
func (c *Client) Put(ctx context.Context, key string, ifVersion uint64, value any) (uint64, error) {
	return c.put(ctx, key, ifVersion, value, c.dialect.Put)
}

// PutStatus writes the status that the store keeps beside an object's value.
// Condition, result and failures are those of Put.
func (c *Client) PutStatus(ctx context.Context, key string, ifVersion uint64, status any) (uint64, error) {
	return c.put(ctx, key, ifVersion, status, c.dialect.PutStatus)
}

func (c *Client) put(ctx context.Context, key string, ifVersion uint64, value any,
	spell func(string, uint64, json.RawMessage) (Call, error)) (uint64, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return 0, eris.Wrapf(err, "put %s", key)
	}
	if len(text) > MaxValueBytes {
		return 0, eris.Wrapf(ErrTooLarge, "put %s: %d bytes", key, len(text))
	}
	call, err := spell(key, ifVersion, text)
	if err != nil {
		return 0, eris.Wrapf(err, "put %s", key)
	}
	body, err := c.callWithTimeout(ctx, c.timeout, call)
	if err != nil {
		return 0, eris.Wrapf(err, "put %s", key)
	}
	version, err := c.dialect.DecodePut(body)
	if err != nil {
		return 0, eris.Wrapf(ErrOutcomeUnknown, "put %s: %v", key, err)
	}
	return version, nil
}

// Watch waits until an object under the prefix has a version above after, or
// the wait passes (MaxWatchWait at most). A zero wait only reads. If the
// connection goes silent, Watch fails with ErrUnavailable a margin of the
// call's timeout after the wait, and the next call uses a new connection. It
// fails with ErrHistoryGone if the store no longer knows what came after the
// revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	var changes Changes
	wait = min(wait, MaxWatchWait)
	body, err := c.callWithTimeout(ctx, wait+min(WatchMargin, c.timeout), c.dialect.Watch(prefix, after, wait))
	if err == nil {
		changes, err = c.dialect.DecodeChanges(prefix, body)
	}
	return changes, eris.Wrapf(err, "watch %s", prefix)
}

func (c *Client) callWithTimeout(ctx context.Context, timeout time.Duration, call Call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.call(ctx, call)
}

// call does one exchange and returns the body of a 200 answer.
func (c *Client) call(ctx context.Context, call Call) ([]byte, error) {
	var reader io.Reader
	if call.Body != nil {
		reader = strings.NewReader(string(call.Body))
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, reader)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, c.transportError(call.Method, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusCreated {
		return nil, c.statusError(call.Method, response)
	}
	body, err := codec.ReadLimited(response.Body, maxAnswerBytes)
	if err != nil {
		return nil, c.transportError(call.Method, err)
	}
	return body, nil
}
