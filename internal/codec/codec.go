// Package codec sends the messages between the system's processes as JSON over
// HTTP. It is the only package that depends on the encoding and the transport:
// decisions and duties use the typed messages.
//
// Unknown fields of a message are ignored, so that processes of adjacent
// releases are compatible. The size of a message is limited.
package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// MaxMessageBytes limits one message in either direction.
const MaxMessageBytes = 4 << 20

var (
	// ErrTooLarge means that a message exceeds its size limit.
	ErrTooLarge = errors.New("codec: message too large")
	// ErrMalformed means that a message is not valid JSON for its type.
	ErrMalformed = errors.New("codec: malformed message")
)

// Encode returns the JSON encoding of a message. It fails with ErrTooLarge if
// it exceeds MaxMessageBytes.
func Encode(message any) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, eris.Wrapf(err, "encode %T", message)
	}
	if len(body) > MaxMessageBytes {
		return nil, eris.Wrapf(ErrTooLarge, "encode %T: %d bytes", message, len(body))
	}
	return body, nil
}

// Decode reads one message of at most limit bytes into target. It fails with
// ErrTooLarge, ErrMalformed or the error of the reader. A message followed by
// anything but white space is malformed.
func Decode(source io.Reader, limit int64, target any) error {
	body, err := ReadLimited(source, limit)
	if err != nil {
		return err
	}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(target); err != nil {
		return eris.Wrapf(ErrMalformed, "decode %T: %v", target, err)
	}
	if !json.Valid(body) {
		return eris.Wrapf(ErrMalformed, "decode %T: data after the message", target)
	}
	return nil
}

// ReadLimited reads source until EOF. It fails with ErrTooLarge if source has
// more than limit bytes.
func ReadLimited(source io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(source, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "read message")
	}
	if int64(len(body)) > limit {
		return nil, eris.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	return body, nil
}
