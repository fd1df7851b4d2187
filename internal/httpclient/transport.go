package httpclient

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// The final statuses of answers.
const minStatus, maxStatus = 200, 599

// ErrMalformed means that an answer breaks the rules of HTTP.
var ErrMalformed = eris.New("malformed answer")

// Transport is an http.RoundTripper that fails with ErrMalformed for a malformed head of an
// answer. The body of an answer that ends with the connection before the request has been
// written ends with ErrReset. The connections are to be of type Conn.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.WithContext(request.Context())
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

// check reports what is malformed in the head of a final answer.
func check(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return eris.Wrapf(ErrMalformed, "status %03d", response.StatusCode)
	}
	return nil
}
