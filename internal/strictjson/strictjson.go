// Package strictjson decodes JSON that operators or their tools have written.
// It reports all unknown, duplicate, missing and mistyped fields together, each
// with its line, column and path.
//
// A struct field is required unless its tag says omitempty or omitzero.
package strictjson

import (
	"bytes"
	"encoding/json"
	"strconv"

	"kingcupcourse/internal/findings"
)

// Document is a decoded JSON text with the position of each value and the
// findings so far.
type Document struct {
	text      []byte
	offsets   map[string]int  // byte offset by path
	undecoded map[string]bool // paths of values that did not decode
	list      findings.List
}

// Decode decodes text into target, a pointer to a struct, and checks it
// against the struct's type. If there are findings, target holds the values
// that could be decoded, so that semantic checks can add their findings.
func Decode(text []byte, target any) *Document {
	d := &Document{text: text, offsets: map[string]int{}, undecoded: map[string]bool{}}
	root, syntaxErr := parse(text)
	if syntaxErr != nil {
		d.addDecodeError(syntaxErr.offset, "", "%v", syntaxErr.err)
		return d
	}
	checker{d}.check(root, targetType(target), "")
	if len(d.list) == 0 {
		if err := json.Unmarshal(text, target); err != nil {
			d.addDecodeError(0, "", "%v", err)
		}
		return d
	}
	// The error is ignored: the findings already cover it.
	_ = json.Unmarshal(text, target)
	return d
}

// Add adds a finding at a path such as "pools[0].name". If the path is not in
// the text, the position is that of its nearest parent in the text. Nothing is
// added about a value that did not decode.
func (d *Document) Add(path, format string, args ...any) {
	if d.isUndecoded(path) {
		return
	}
	d.addAtOffset(d.nearestOffset(path), path, format, args...)
}

// Findings returns all findings in the order of the text.
func (d *Document) Findings() findings.List {
	d.list.Sort()
	return d.list
}

// addDecodeError reports that the value at path did not decode.
func (d *Document) addDecodeError(offset int, path, format string, args ...any) {
	d.undecoded[path] = true
	d.addAtOffset(offset, path, format, args...)
}

func (d *Document) isUndecoded(path string) bool {
	for {
		if d.undecoded[path] {
			return true
		}
		if path == "" {
			return false
		}
		path = parent(path)
	}
}

func (d *Document) nearestOffset(path string) int {
	for {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		if path == "" {
			return 0
		}
		path = parent(path)
	}
}

func (d *Document) addAtOffset(offset int, path, format string, args ...any) {
	offset = min(offset, len(d.text))
	before := d.text[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - (bytes.LastIndexByte(before, '\n') + 1) + 1
	d.list.AddAt(line, column, path, format, args...)
}

// parent returns the path of the object or array that contains the value at
// path.
func parent(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

// Field returns the path of a field of the object at path.
func Field(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Item returns the path of an element of the array at path.
func Item(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}
