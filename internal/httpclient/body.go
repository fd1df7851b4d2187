package httpclient

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// upload is the body of a request. It tells whether the transport has taken all of it.
type upload struct {
	io.ReadCloser
	length int64 // negative if it is not known
	taken  atomic.Int64
	ended  atomic.Bool
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	n, err := u.ReadCloser.Read(p)
	if u.taken.Add(int64(n)) == u.length || errors.Is(err, io.EOF) {
		u.ended.Store(true)
	}
	return n, err
}

// uploads holds the newest body of a request, which net/http may send a second time.
type uploads struct{ newest atomic.Pointer[upload] }

// trackUploads replaces the body of a request.
func trackUploads(request *http.Request) *uploads {
	u := &uploads{}
	if request.Body == nil || request.Body == http.NoBody {
		return u
	}
	length := request.ContentLength
	if length == 0 {
		length = -1 // net/http takes it for unknown
	}
	track := func(source io.ReadCloser) io.ReadCloser {
		tracked := &upload{ReadCloser: source, length: length}
		u.newest.Store(tracked)
		return tracked
	}
	request.Body = track(request.Body)
	if again := request.GetBody; again != nil {
		request.GetBody = func() (io.ReadCloser, error) {
			source, err := again()
			if err != nil {
				return nil, err
			}
			return track(source), nil
		}
	}
	return u
}

// haveEnded reports whether the transport has taken the whole body, if there is one.
func (u *uploads) haveEnded() bool {
	newest := u.newest.Load()
	return newest == nil || newest.ended.Load()
}

// EndsWithConnection reports whether only the end of its connection shows that an answer
// is complete.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	response *http.Response
	uploads  *uploads
}

// Read implements io.Reader. It fails with ErrReset in place of io.EOF if the end of the
// connection is that of the answer and the request has not been taken, and with
// ErrMalformed if the trailer is malformed.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		err = b.end(err)
	}
	return n, err
}

func (b *body) end(err error) error {
	if EndsWithConnection(b.response) && !b.uploads.haveEnded() {
		return ErrReset
	}
	if malformed := checkNames(b.response.Trailer); malformed != nil {
		return malformed
	}
	return err
}
