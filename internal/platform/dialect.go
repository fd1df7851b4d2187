package platform

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Call is one HTTP call in the dialect of a store.
type Call struct {
	Method string
	// Path includes the query.
	Path string
	// Body is nil for a call without a body.
	Body []byte
	// maxAnswerBytes limits the response, zero for the limit of the client. A larger
	// one fails with ErrTooLarge.
	maxAnswerBytes int64
}

// Dialect encodes the calls to a store and decodes its responses. The Client
// does the rest: timeouts, connections, and the classification of errors.
//
// A decoding method gets the body of a successful response and fails on one
// that does not follow the dialect.
type Dialect interface {
	// Get reads one object.
	Get(key string) Call
	// GetStale reads one object and accepts an answer that is out of date, in
	// stores where that is cheaper.
	GetStale(key string) Call
	// List reads objects by prefix; after is the last key of the previous
	// page, empty for the first page.
	List(prefix, after string) Call
	// ListStale reads the first page of a list and accepts an answer that is out of
	// date, in stores where that is cheaper.
	ListStale(prefix string) Call
	// Put writes an object under the condition of Client.Put.
	Put(key string, ifVersion uint64, value json.RawMessage) (Call, error)
	// PutStatus writes the status next to the value of an object, under the
	// same condition. It fails for a store without a separate status.
	PutStatus(key string, ifVersion uint64, status json.RawMessage) (Call, error)
	// Watch waits for changes after the revision.
	Watch(prefix string, after uint64, wait time.Duration) Call

	// Era returns the era of the store that an answer names, zero for none. It rises when
	// the store comes back from a copy of its state.
	Era(header http.Header) uint64
	DecodeObject(key string, body []byte) (Object, error)
	DecodeList(prefix string, body []byte) (Page, error)
	DecodePut(body []byte) (uint64, error)
	DecodeChanges(prefix string, body []byte) (Changes, error)
	// DecodeConflict returns the object from a conflict response, at least its
	// version.
	DecodeConflict(body []byte) (Object, error)
}

// Page is one part of a list.
type Page struct {
	// Revision is the store's revision at the time of the page.
	Revision uint64
	Objects  []Object
	// More reports that further pages follow.
	More bool
}

// nativeDialect is the dialect of the project's own object API.
type nativeDialect struct{}

func (nativeDialect) Get(key string) Call { return Call{Method: http.MethodGet, Path: objectPath(key)} }

func (n nativeDialect) GetStale(key string) Call { return n.Get(key) }

// List reads all objects in one call; the API has no pages.
func (n nativeDialect) List(prefix, _ string) Call { return n.Watch(prefix, 0, 0) }

func (n nativeDialect) ListStale(prefix string) Call { return n.List(prefix, "") }

func (nativeDialect) Put(key string, ifVersion uint64, value json.RawMessage) (Call, error) {
	path := objectPath(key) + "?if_version=" + strconv.FormatUint(ifVersion, 10)
	return Call{Method: http.MethodPut, Path: path, Body: value}, nil
}

// PutStatus fails: the project's own object API has no separate status.
func (nativeDialect) PutStatus(key string, _ uint64, _ json.RawMessage) (Call, error) {
	return Call{}, eris.Errorf("the object API has no separate status for %s", key)
}

func (nativeDialect) Watch(prefix string, after uint64, wait time.Duration) Call {
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(after, 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return Call{Method: http.MethodGet, Path: "/v1/watch?" + query.Encode()}
}

// Era returns zero: the project's own object API has no eras.
func (nativeDialect) Era(http.Header) uint64 { return 0 }

func (nativeDialect) DecodeObject(_ string, body []byte) (object Object, err error) {
	return object, eris.Wrap(json.Unmarshal(body, &object), "decode object")
}

func (n nativeDialect) DecodeList(prefix string, body []byte) (Page, error) {
	changes, err := n.DecodeChanges(prefix, body)
	return Page{Revision: changes.Revision, Objects: changes.Objects}, err
}

func (nativeDialect) DecodePut(body []byte) (uint64, error) {
	var response struct {
		Version uint64 `json:"version"`
	}
	err := json.Unmarshal(body, &response)
	return response.Version, eris.Wrap(err, "decode write response")
}

func (nativeDialect) DecodeChanges(_ string, body []byte) (changes Changes, err error) {
	return changes, eris.Wrap(json.Unmarshal(body, &changes), "decode changes")
}

func (nativeDialect) DecodeConflict(body []byte) (Object, error) {
	var conflict ConflictError
	err := json.Unmarshal(body, &conflict)
	return Object{Version: conflict.Version}, eris.Wrap(err, "decode conflict")
}

func objectPath(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/v1/objects/" + strings.Join(segments, "/")
}
