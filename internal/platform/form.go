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

// Call is one HTTP call as a store spells it.
type Call struct {
	Method string
	// Path holds the query, too.
	Path string
	// Body is nil for a call without one.
	Body []byte
}

// Dialect is the way a store spells its calls and answers. The client has the
// rest: time limits, connections, and what an error means.
//
// A decoding method gets the body of a 200 answer and fails on one that is
// not in the store's form.
type Dialect interface {
	// Get reads one object.
	Get(key string) Call
	// List reads objects by prefix; after is the last key of the page before,
	// empty for the first.
	List(prefix, after string) Call
	// Put writes an object under the condition of Client.Put.
	Put(key string, ifVersion uint64, value json.RawMessage) (Call, error)
	// PutStatus writes the status beside the value of an object, under the
	// same condition. It fails for a store that keeps none.
	PutStatus(key string, ifVersion uint64, status json.RawMessage) (Call, error)
	// Watch waits for changes above the revision.
	Watch(prefix string, after uint64, wait time.Duration) Call

	DecodeObject(key string, body []byte) (Object, error)
	DecodeList(prefix string, body []byte) (Page, error)
	DecodePut(body []byte) (uint64, error)
	DecodeChanges(prefix string, body []byte) (Changes, error)
	// DecodeConflict returns the version that a refused write has met.
	DecodeConflict(body []byte) (uint64, error)
}

// Page is one part of a list.
type Page struct {
	// Revision is the store's as of the page.
	Revision uint64
	Objects  []Object
	// More tells that the list goes on after the last object.
	More bool
}

// nativeDialect is the form of the project's own object API.
type nativeDialect struct{}

func (nativeDialect) Get(key string) Call { return Call{Method: http.MethodGet, Path: objectPath(key)} }

// List reads everything in one call; the API has no pages.
func (n nativeDialect) List(prefix, _ string) Call { return n.Watch(prefix, 0, 0) }

func (nativeDialect) Put(key string, ifVersion uint64, value json.RawMessage) (Call, error) {
	path := objectPath(key) + "?if_version=" + strconv.FormatUint(ifVersion, 10)
	return Call{Method: http.MethodPut, Path: path, Body: value}, nil
}

// PutStatus fails: the project's own object API keeps no status apart.
func (nativeDialect) PutStatus(key string, _ uint64, _ json.RawMessage) (Call, error) {
	return Call{}, eris.Errorf("no status is kept beside %s", key)
}

func (nativeDialect) Watch(prefix string, after uint64, wait time.Duration) Call {
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(after, 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return Call{Method: http.MethodGet, Path: "/v1/watch?" + query.Encode()}
}

func (nativeDialect) DecodeObject(_ string, body []byte) (object Object, err error) {
	return object, eris.Wrap(json.Unmarshal(body, &object), "decode object")
}

func (n nativeDialect) DecodeList(prefix string, body []byte) (Page, error) {
	changes, err := n.DecodeChanges(prefix, body)
	return Page{Revision: changes.Revision, Objects: changes.Objects}, err
}

func (nativeDialect) DecodePut(body []byte) (uint64, error) {
	var answer struct {
		Version uint64 `json:"version"`
	}
	err := json.Unmarshal(body, &answer)
	return answer.Version, eris.Wrap(err, "decode answer to a write")
}

func (nativeDialect) DecodeChanges(_ string, body []byte) (changes Changes, err error) {
	return changes, eris.Wrap(json.Unmarshal(body, &changes), "decode changes")
}

func (nativeDialect) DecodeConflict(body []byte) (uint64, error) {
	var found ConflictError
	err := json.Unmarshal(body, &found)
	return found.Version, eris.Wrap(err, "decode conflict")
}

func objectPath(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/v1/objects/" + strings.Join(segments, "/")
}
