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
)

const (
	// DialTimeout bounds how long opening a connection may take.
	DialTimeout = time.Second
	// MaxIdleConnectionsPerAddress is how many unused connections to one
	// address are kept for the next calls.
	MaxIdleConnectionsPerAddress = 64
	// IdleConnectionTimeout is how long an unused connection is kept.
	IdleConnectionTimeout = 30 * time.Second
	// maxErrorBodyBytes is how much of an error answer is kept for the log.
	maxErrorBodyBytes = 512
)

// CallError tells how a call to another process failed. Status is the HTTP
// status of an answer other than 200; it is zero if there was no whole
// answer, and Cause then tells why.
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

// NewTransport returns the connection pool for calls. A process builds one
// for its peers and keeps it for life. The header timeout bounds how long an
// answer may be awaited; zero for no bound besides the call's context.
func NewTransport(headerTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: DialTimeout, KeepAlive: IdleConnectionTimeout}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		MaxIdleConnsPerHost:   MaxIdleConnectionsPerAddress,
		IdleConnTimeout:       IdleConnectionTimeout,
		ResponseHeaderTimeout: headerTimeout,
		DisableCompression:    true,
	}
}

// Call posts request to the path of the process at address (host:port) and
// decodes the answer into reply. The context bounds the whole call. A failure
// is a *CallError.
func Call(ctx context.Context, client *http.Client, address, path string, request, reply any) error {
	body, err := Encode(request)
	if err != nil {
		return err
	}
	return roundTrip(ctx, client, http.MethodPost, address, path, body, reply)
}

// Fetch gets the path of the process at address (host:port) and decodes the
// answer into reply. The context bounds the whole call. A failure is a
// *CallError.
func Fetch(ctx context.Context, client *http.Client, address, path string, reply any) error {
	return roundTrip(ctx, client, http.MethodGet, address, path, nil, reply)
}

func roundTrip(ctx context.Context, client *http.Client, method, address, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "call %s%s", address, path)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", "") // not sent, to keep small messages small
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
	failure := &CallError{Address: address, Path: path, Status: response.StatusCode}
	if text, err := ReadLimited(response.Body, maxErrorBodyBytes); err == nil {
		failure.Body = strings.TrimSpace(string(text))
	}
	return failure
}
