package httpclient

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"

	"github.com/rotisserie/eris"
)

// The final statuses of answers.
const minStatus, maxStatus = 200, 599

// ErrMalformed means that an answer breaks the rules of HTTP.
var ErrMalformed = eris.New("malformed answer")

// Transport is an http.RoundTripper that fails with ErrMalformed for a malformed head of an
// answer. The body of an answer whose trailer is malformed ends with ErrMalformed, and one
// that ends with the connection before the request has been written with ErrReset. The
// connections are to be of type Conn.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	informational := int64(0)
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		// With this hook, net/http limits each informational answer and not all together.
		if informational += headBytes(http.Header(header)); t.MaxResponseHeaderBytes > 0 && informational > t.MaxResponseHeaderBytes {
			return eris.Wrapf(ErrMalformed, "informational answers of more than %d bytes", t.MaxResponseHeaderBytes)
		}
		return checkNames(http.Header(header))
	}}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	uploads := trackUploads(request)
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if response.Body != http.NoBody {
		response.Body = &body{response.Body, response, uploads}
	}
	return response, nil
}

// headBytes returns the least size of the head of an informational answer.
func headBytes(header http.Header) int64 {
	size := len("HTTP/1.1 100 \r\n\r\n")
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + len(":\r\n")
		}
	}
	return int64(size)
}

// check reports what is malformed in the head of a final answer.
func check(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return eris.Wrapf(ErrMalformed, "status %03d", response.StatusCode)
	}
	return checkNames(response.Header)
}

func checkNames(header http.Header) error {
	for name := range header {
		if name == "" || strings.ContainsFunc(name, isNoTokenRune) {
			return eris.Wrapf(ErrMalformed, "field name %.40q", name)
		}
	}
	return nil
}

// isNoTokenRune reports whether a rune cannot be part of a token (RFC 9110, section 5.6.2).
func isNoTokenRune(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
}
