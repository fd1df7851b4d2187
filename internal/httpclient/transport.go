package httpclient

import "net/http"

// Transport is an http.RoundTripper. The body of an answer that ends with the connection
// before the request has been written ends with ErrReset. The connections are to be of
// type Conn.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.WithContext(request.Context())
	uploads := trackUploads(request)
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if response.Body != http.NoBody {
		response.Body = &body{response.Body, response, uploads}
	}
	return response, nil
}
