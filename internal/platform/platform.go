// Package platform is the client of the platform's object API, which stores
// persistent state: the manifest, journals, leases, verdicts and status.
//
// Every write is conditional. If the response to a write is lost, its outcome
// is unknown: Put reports ErrOutcomeUnknown, and PutRecover resolves it by
// reading the object back.
package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/httpclient"
)

const (
	// DefaultCallTimeout bounds one Get or Put, or one page of a List.
	DefaultCallTimeout = 2 * time.Second
	// WatchMargin is how much longer than the requested wait a watch may take
	// before its connection is considered dead.
	WatchMargin = 2 * time.Second
	// MaxWatchWait is the longest wait that a watch may request.
	MaxWatchWait = 30 * time.Second
	// MaxValueBytes limits the value of an object.
	MaxValueBytes = 1 << 20
	// maxAnswerBytes limits one response.
	maxAnswerBytes = 64 << 20
	// maxWatchBytes limits the response to a watch. It may hold every version of an
	// object since the last watch, while a list holds one.
	maxWatchBytes = 8 << 20
)

// Object is one object of the platform.
type Object struct {
	Key string `json:"key"`
	// Version is positive. A later write, to any object, has a higher one.
	Version uint64 `json:"version"`
	// Created is the version at which the object was created, zero if the
	// store does not report it.
	Created uint64          `json:"-"`
	Value   json.RawMessage `json:"value"`
	// Status is written by this system next to a value that belongs to
	// another writer, in stores that keep the two apart.
	Status json.RawMessage `json:"-"`
	// Deleted reports that the object no longer exists as of Version.
	Deleted bool `json:"-"`
}

// Changes is the result of a watch.
type Changes struct {
	// Revision is the value of after for the next watch.
	Revision uint64 `json:"revision"`
	// Objects holds the latest value of each changed object, in the order of
	// the changes.
	Objects []Object `json:"objects"`
}

// Client calls the object API. It is safe for concurrent use. A process
// creates one client and reuses it.
type Client struct {
	base      string
	dialect   Dialect
	timeout   time.Duration
	era       *lastEra
	transport *httpclient.Transport
	http      *http.Client
}

// New returns a client for the project's own object API at the base URL, with
// DefaultCallTimeout.
func New(base string) *Client { return NewWithDialect(base, nativeDialect{}) }

// NewWithDialect is like New for a store that speaks another dialect.
func NewWithDialect(base string, dialect Dialect) *Client {
	transport := codec.NewTransport(MaxWatchWait + WatchMargin)
	return &Client{
		base:      strings.TrimSuffix(base, "/"),
		dialect:   dialect,
		timeout:   DefaultCallTimeout,
		era:       &lastEra{},
		transport: transport,
		http:      &http.Client{Transport: transport},
	}
}

// WithTimeout returns a client that shares the connections of c and bounds
// each Get or Put, and each page of a List, by the given timeout.
func (c *Client) WithTimeout(timeout time.Duration) *Client {
	clone := *c
	clone.timeout = timeout
	return &clone
}

// Get reads an object. It fails with ErrNotFound, ErrUnavailable or
// *RateLimitedError.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	answer, err := c.callWithTimeout(ctx, c.timeout, c.dialect.Get(key))
	if err == nil {
		object, err = c.dialect.DecodeObject(key, answer.body)
	}
	object.Version = inEra(answer.era, object.Version)
	return object, eris.Wrapf(err, "get %s", key)
}

// Probe reports whether the store answers. The call is cheap, as its answer may be
// out of date. It fails with the errors of Get except ErrNotFound.
func (c *Client) Probe(ctx context.Context, key string) error {
	_, err := c.callWithTimeout(ctx, c.timeout, c.dialect.GetStale(key))
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return eris.Wrapf(err, "probe %s", key)
}

// ListFirst reads the first page of the objects under the prefix. It fails with
// the errors of Get.
func (c *Client) ListFirst(ctx context.Context, prefix string) ([]Object, error) {
	return c.firstPage(ctx, prefix, c.dialect.List(prefix, ""))
}

// ListFirstStale is like ListFirst. The call is cheap, as its answer may be out of
// date.
func (c *Client) ListFirstStale(ctx context.Context, prefix string) ([]Object, error) {
	return c.firstPage(ctx, prefix, c.dialect.ListStale(prefix))
}

func (c *Client) firstPage(ctx context.Context, prefix string, call Call) ([]Object, error) {
	answer, err := c.callWithTimeout(ctx, c.timeout, call)
	if err != nil {
		return nil, eris.Wrapf(err, "list %s", prefix)
	}
	page, err := c.dialect.DecodeList(prefix, answer.body)
	addEra(page.Objects, answer.era)
	return page.Objects, eris.Wrapf(err, "list %s", prefix)
}

// List reads all objects under the prefix, page by page. It fails with the
// errors of Get.
func (c *Client) List(ctx context.Context, prefix string) (Changes, error) {
	var list Changes
	after, era := "", uint64(0)
	for {
		answer, err := c.callWithTimeout(ctx, c.timeout, c.dialect.List(prefix, after))
		if err != nil {
			return Changes{}, eris.Wrapf(err, "list %s", prefix)
		}
		page, err := c.dialect.DecodeList(prefix, answer.body)
		if err != nil {
			return Changes{}, eris.Wrapf(err, "list %s", prefix)
		}
		if after != "" && answer.era != era {
			return Changes{}, eris.Wrapf(ErrUnavailable, "list %s: the store came back from a copy between two pages", prefix)
		}
		era = answer.era
		addEra(page.Objects, era)
		// A watch from the first page's revision also reports changes made
		// between two pages.
		if after == "" {
			list.Revision = inEra(era, page.Revision)
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
// *ConflictError, ErrUnavailable or *RateLimitedError if the write was not
// applied, and with ErrOutcomeUnknown if it may have been.
func (c *Client) Put(ctx context.Context, key string, ifVersion uint64, value any) (uint64, error) {
	return c.put(ctx, key, ifVersion, value, c.dialect.Put)
}

// PutStatus writes the status that the store keeps next to an object's value.
// The condition, the result and the errors are those of Put.
func (c *Client) PutStatus(ctx context.Context, key string, ifVersion uint64, status any) (uint64, error) {
	return c.put(ctx, key, ifVersion, status, c.dialect.PutStatus)
}

func (c *Client) put(ctx context.Context, key string, ifVersion uint64, value any,
	encode func(string, uint64, json.RawMessage) (Call, error)) (uint64, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, eris.Wrapf(err, "put %s", key)
	}
	if len(encoded) > MaxValueBytes {
		return 0, eris.Wrapf(ErrTooLarge, "put %s: %d bytes", key, len(encoded))
	}
	if c.era.isOver(ifVersion) {
		return 0, eris.Wrapf(c.conflictWithNewEra(ctx, key), "put %s", key)
	}
	call, err := encode(key, storeRevision(ifVersion), encoded)
	if err != nil {
		return 0, eris.Wrapf(err, "put %s", key)
	}
	answer, err := c.callWithTimeout(ctx, c.timeout, call)
	if err != nil {
		return 0, eris.Wrapf(err, "put %s", key)
	}
	version, err := c.dialect.DecodePut(answer.body)
	if err != nil {
		return 0, eris.Wrapf(ErrOutcomeUnknown, "put %s: %v", key, err)
	}
	return inEra(answer.era, version), nil
}

// conflictWithNewEra returns the conflict of a write whose condition is a version of an
// earlier era. The store may have given out that revision again.
func (c *Client) conflictWithNewEra(ctx context.Context, key string) error {
	current, err := c.Get(ctx, key)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	return &ConflictError{Version: current.Version, Value: current.Value}
}

// Watch waits until an object under the prefix has a version above after, or
// until the wait has passed (MaxWatchWait at most). With a zero wait it returns
// at once. If the connection stalls, Watch fails with ErrUnavailable after the
// wait plus the smaller of WatchMargin and the client's timeout, and the next
// call uses a new connection. It fails with ErrHistoryGone if the store no
// longer has the changes after the revision or has come back from a copy since, and with
// ErrTooLarge if they take more than maxWatchBytes; a list of the objects is smaller then.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	if c.era.isOver(after) {
		return Changes{}, eris.Wrapf(ErrHistoryGone, "watch %s", prefix)
	}
	var changes Changes
	wait = min(wait, MaxWatchWait)
	call := c.dialect.Watch(prefix, storeRevision(after), wait)
	call.maxAnswerBytes = maxWatchBytes
	answer, err := c.callWithTimeout(ctx, wait+min(WatchMargin, c.timeout), call)
	switch {
	case err == nil && after != 0 && answer.era != eraOf(after):
		err = ErrHistoryGone
	case err == nil:
		changes, err = c.dialect.DecodeChanges(prefix, answer.body)
		changes.Revision = inEra(answer.era, changes.Revision)
		addEra(changes.Objects, answer.era)
	}
	return changes, eris.Wrapf(err, "watch %s", prefix)
}

func (c *Client) callWithTimeout(ctx context.Context, timeout time.Duration, call Call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.call(ctx, call)
}

// call sends one request and returns a 200 or 201 response.
func (c *Client) call(ctx context.Context, call Call) (answer, error) {
	var reader io.Reader
	if call.Body != nil {
		reader = strings.NewReader(string(call.Body))
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, reader)
	if err != nil {
		return answer{}, eris.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, c.transportError(call.Method, err)
	}
	defer response.Body.Close()
	era := c.era.observe(c.dialect, response.Header)
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusCreated {
		return answer{}, c.statusError(call.Method, response, era)
	}
	body, err := codec.ReadLimited(response.Body, cmp.Or(call.maxAnswerBytes, maxAnswerBytes))
	switch {
	case errors.Is(err, codec.ErrTooLarge) && call.maxAnswerBytes > 0:
		return answer{}, eris.Wrapf(ErrTooLarge, "more than %d bytes", call.maxAnswerBytes)
	case err != nil:
		return answer{}, c.transportError(call.Method, err)
	}
	return answer{limitDepth(body), era}, nil
}
