// Package strictjson decodes JSON that people or their tools wrote, and
// reports every unknown, duplicate, missing and mistyped field together, each
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

// Document tells where in the text each value is.
type Document struct {
	text      []byte
	offsets   map[string]int // byte offset by path
	undecoded map[string]bool
	list      findings.List
}

// Decode decodes text into target, a pointer to a struct, and checks it
// against the struct's type. If there are findings, target holds what could be
// decoded, so that semantic checks can add theirs.
func Decode(text []byte, target any) *Document {
	d := &Document{text: text, offsets: map[string]int{}, undecoded: map[string]bool{}}
	root, syntax := parse(text)
	if syntax != nil {
		d.addDecodeError(syntax.offset, "", "%v", syntax.err)
		return d
	}
	checker{d}.check(root, targetType(target), "")
	if len(d.list) == 0 {
		if err := json.Unmarshal(text, target); err != nil {
			d.addDecodeError(0, "", "%v", err)
		}
		return d
	}
	// The findings tell what did not decode.
	_ = json.Unmarshal(text, target)
	return d
}

// Add reports a problem at a path such as "pools[0].name". A path that is
// not in the text is reported at its nearest parent that is. Nothing is added
// about a value that did not decode.
func (d *Document) Add(path, format string, args ...any) {
	if d.isUndecoded(path) {
		return
	}
	d.addAtOffset(d.nearestOffset(path), path, format, args...)
}

// Findings returns all problems in the order of the text.
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

// parent returns the path of the value that holds the one at path.
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
