// Package codec encodes the messages between the system's own processes as
// JSON over HTTP. It is the only place that knows how they travel: decisions
// and duties see the typed messages.
//
// Unknown fields of a message are ignored, so that processes of neighbouring
// releases understand each other. The size of a message is limited.
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
	// ErrTooLarge is the cause when a message is above its size limit.
	ErrTooLarge = errors.New("codec: message too large")
	// ErrMalformed is the cause when a message is not JSON of its type.
	ErrMalformed = errors.New("codec: malformed message")
)

// Encode returns the JSON of a message. It fails with ErrTooLarge above
// MaxMessageBytes.
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
// ErrTooLarge or ErrMalformed, or with the error of the reader. Anything but
// white space after the message is malformed.
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

// ReadLimited reads the source to its end. It fails with ErrTooLarge if there
// are more than limit bytes.
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
