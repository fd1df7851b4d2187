package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth limits how deep values may be nested.
const maxDepth = 64

// node is a JSON value with the byte offset at which it begins.
type node struct {
	offset int
	// value is a json.Token for a scalar, nil for an object or array.
	value  json.Token
	object bool
	array  bool
	fields []field
	items  []*node
}

// field is one member of an object.
type field struct {
	name   string
	offset int
	value  *node
}

// parser builds the node tree of a text.
type parser struct {
	text    []byte
	decoder *json.Decoder
}

// syntaxError is a fault at an offset of the text.
type syntaxError struct {
	offset int
	err    error
}

func (e *syntaxError) Error() string { return e.err.Error() }

func parse(text []byte) (*node, *syntaxError) {
	p := &parser{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	p.decoder.UseNumber()
	root, err := p.value(0)
	if err != nil {
		return nil, err
	}
	if rest := p.start(); rest < len(text) {
		return nil, &syntaxError{rest, errors.New("data after the value")}
	}
	return root, nil
}

// start returns the offset at which the next token begins.
func (p *parser) start() int {
	offset := int(p.decoder.InputOffset())
	for offset < len(p.text) && bytes.IndexByte([]byte(" \t\r\n,:"), p.text[offset]) >= 0 {
		offset++
	}
	return offset
}

func (p *parser) token() (json.Token, int, *syntaxError) {
	offset := p.start()
	token, err := p.decoder.Token()
	if err == nil {
		return token, offset, nil
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = int(syntax.Offset)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("the text ends too early")
	}
	return nil, offset, &syntaxError{offset, err}
}

func (p *parser) value(depth int) (*node, *syntaxError) {
	token, offset, err := p.token()
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, &syntaxError{offset, fmt.Errorf("nested deeper than %d", maxDepth)}
	}
	n := &node{offset: offset}
	switch token {
	case json.Delim('{'):
		n.object = true
		return n, p.members(n, depth)
	case json.Delim('['):
		n.array = true
		return n, p.elements(n, depth)
	default:
		n.value = token
		return n, nil
	}
}

func (p *parser) members(n *node, depth int) *syntaxError {
	for p.decoder.More() {
		token, offset, err := p.token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return &syntaxError{offset, errors.New("a field name must be a string")}
		}
		value, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		n.fields = append(n.fields, field{name, offset, value})
	}
	_, _, err := p.token()
	return err
}

func (p *parser) elements(n *node, depth int) *syntaxError {
	for p.decoder.More() {
		item, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		n.items = append(n.items, item)
	}
	_, _, err := p.token()
	return err
}
