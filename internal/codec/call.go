package codec

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/httpclient"
)

const (
	// DialTimeout bounds the time to open a connection.
	DialTimeout = time.Second
	// MaxIdleConnectionsPerAddress is the maximum number of idle connections
	// kept per address.
	MaxIdleConnectionsPerAddress = 64
	// IdleConnectionTimeout is how long an idle connection is kept.
	IdleConnectionTimeout = 30 * time.Second
	// maxErrorBodyBytes limits the body of an error response kept for the log.
	maxErrorBodyBytes = 512
	// maxHeaderBytes limits the header of a response, informational responses and
	// trailers included.
	maxHeaderBytes = 64 << 10
)

// CallError is the error of a call to another process. Status is the HTTP
// status of a response other than 200, or zero if there was no complete
// response; Cause is then the reason.
type CallError struct {
	Address, Path string
	Status        int
	Body          string
	Cause         error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("call %s%s: status %d: %s", e.Address, e.Path, e.Status, e.Body)
	}
	return fmt.Sprintf("call %s%s: %v", e.Address, e.Path, e.Cause)
}

// Unwrap returns the cause of a transport failure.
func (e *CallError) Unwrap() error { return e.Cause }

// NewTransport returns the connection pool for calls. A process creates one
// for its peers and reuses it for its lifetime. headerTimeout bounds the wait
// for the response header; with zero only the call's context bounds it.
func NewTransport(headerTimeout time.Duration) *httpclient.Transport {
	dialer := &net.Dialer{Timeout: DialTimeout, KeepAlive: IdleConnectionTimeout}
	return &httpclient.Transport{Transport: &http.Transport{
		DialContext:           httpclient.DialContext(dialer),
		MaxIdleConnsPerHost:   MaxIdleConnectionsPerAddress,
		IdleConnTimeout:       IdleConnectionTimeout,
		ResponseHeaderTimeout: headerTimeout,
		DisableCompression:    true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// Call sends request by POST to path at the process with the address
// (host:port) and decodes the response into reply. The context bounds the
// entire call. It fails with the error of Encode or with a *CallError.
func Call(ctx context.Context, client *http.Client, address, path string, request, reply any) error {
	body, err := Encode(request)
	if err != nil {
		return err
	}
	return roundTrip(ctx, client, http.MethodPost, address, path, body, reply)
}

// Fetch sends a GET for path to the process with the address (host:port) and
// decodes the response into reply. The context bounds the entire call. It fails
// with a *CallError.
func Fetch(ctx context.Context, client *http.Client, address, path string, reply any) error {
	return roundTrip(ctx, client, http.MethodGet, address, path, nil, reply)
}

func roundTrip(ctx context.Context, client *http.Client, method, address, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "call %s%s", address, path)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", "") // omitted to reduce the size of small messages
	response, err := client.Do(request)
	if err != nil {
		return &CallError{Address: address, Path: path, Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(address, path, response)
	}
	if err := Decode(response.Body, MaxMessageBytes, reply); err != nil {
		return &CallError{Address: address, Path: path, Cause: err}
	}
	return nil
}

func statusError(address, path string, response *http.Response) error {
	callErr := &CallError{Address: address, Path: path, Status: response.StatusCode}
	if text, err := ReadLimited(response.Body, maxErrorBodyBytes); err == nil {
		callErr.Body = strings.TrimSpace(string(text))
	}
	return callErr
}
