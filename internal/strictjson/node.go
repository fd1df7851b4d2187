package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth is the maximum nesting depth.
const maxDepth = 64

// node is a JSON value with the byte offset of its first character.
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

// syntaxError is a syntax error at a byte offset of the text.
type syntaxError struct {
	offset int
	err    error
}

func (e *syntaxError) Error() string { return e.err.Error() }

func parse(text []byte) (*node, *syntaxError) {
	p := &parser{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	p.decoder.UseNumber()
	root, err := p.parseValue(0)
	if err != nil {
		return nil, err
	}
	if end := p.nextTokenOffset(); end < len(text) {
		return nil, &syntaxError{end, errors.New("unexpected data after the JSON value")}
	}
	return root, nil
}

// nextTokenOffset returns the offset of the next token.
func (p *parser) nextTokenOffset() int {
	offset := int(p.decoder.InputOffset())
	for offset < len(p.text) && bytes.IndexByte([]byte(" \t\r\n,:"), p.text[offset]) >= 0 {
		offset++
	}
	return offset
}

func (p *parser) nextToken() (json.Token, int, *syntaxError) {
	offset := p.nextTokenOffset()
	token, err := p.decoder.Token()
	if err == nil {
		return token, offset, nil
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		offset = int(syntaxErr.Offset)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("unexpected end of the text")
	}
	return nil, offset, &syntaxError{offset, err}
}

func (p *parser) parseValue(depth int) (*node, *syntaxError) {
	token, offset, err := p.nextToken()
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
		return n, p.parseObject(n, depth)
	case json.Delim('['):
		n.array = true
		return n, p.parseArray(n, depth)
	default:
		n.value = token
		return n, nil
	}
}

func (p *parser) parseObject(n *node, depth int) *syntaxError {
	for p.decoder.More() {
		token, offset, err := p.nextToken()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return &syntaxError{offset, errors.New("a field name must be a string")}
		}
		value, err := p.parseValue(depth + 1)
		if err != nil {
			return err
		}
		n.fields = append(n.fields, field{name, offset, value})
	}
	_, _, err := p.nextToken()
	return err
}

func (p *parser) parseArray(n *node, depth int) *syntaxError {
	for p.decoder.More() {
		item, err := p.parseValue(depth + 1)
		if err != nil {
			return err
		}
		n.items = append(n.items, item)
	}
	_, _, err := p.nextToken()
	return err
}
