package completions

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

const fieldStream = "stream"

// AsStream returns the body with "stream" set to true. All other fields keep
// their bytes and their order, so that the engine reads the same values as
// Parse. The body must have passed Parse.
func AsStream(raw []byte) ([]byte, error) {
	fields := json.NewDecoder(bytes.NewReader(raw))
	if _, err := fields.Token(); err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	var out bytes.Buffer
	out.WriteString(`{"` + fieldStream + `":true`)
	for fields.More() {
		if err := copyField(&out, fields); err != nil {
			return nil, eris.Wrap(ErrMalformed, err.Error())
		}
	}
	out.WriteByte('}')
	return out.Bytes(), nil
}

// copyField copies one field unless its name is "stream", ignoring case.
func copyField(out *bytes.Buffer, fields *json.Decoder) error {
	token, err := fields.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string)
	var value json.RawMessage
	if err := fields.Decode(&value); err != nil {
		return err
	}
	if strings.EqualFold(name, fieldStream) {
		return nil
	}
	quoted, err := json.Marshal(name)
	if err != nil {
		return err
	}
	out.WriteByte(',')
	out.Write(quoted)
	out.WriteByte(':')
	out.Write(value)
	return nil
}
