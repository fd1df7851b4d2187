// Package findings collects all problems of an input with their locations, so
// that one run reports every problem and not just the first.
package findings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one problem of an input.
type Finding struct {
	// Location is a file position, or a JSON path such as
	// "pools[0].endpoints[2].address".
	Location string `json:"place"`
	// Path is the JSON path when Location is a file position.
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
	// Line and Column are the position in the input, counted from 1; zero
	// if the position is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// String returns "location: path: message".
func (f Finding) String() string {
	if f.Path == "" {
		return f.Location + ": " + f.Message
	}
	return f.Location + ": " + f.Path + ": " + f.Message
}

// List is the error that holds all findings of one input.
type List []Finding

// Add appends a finding with a formatted message.
func (l *List) Add(location, format string, args ...any) {
	*l = append(*l, Finding{Location: location, Message: fmt.Sprintf(format, args...)})
}

// AddAt appends a finding with its position in the input and its JSON path.
func (l *List) AddAt(line, column int, path, format string, args ...any) {
	*l = append(*l, Finding{
		Location: fmt.Sprintf("%d:%d", line, column),
		Path:     path,
		Message:  fmt.Sprintf(format, args...),
		Line:     line,
		Column:   column,
	})
}

// InFile returns the findings with the file's name before each location.
func (l List) InFile(name string) List {
	named := slices.Clone(l)
	for i := range named {
		named[i].Location = name + ":" + named[i].Location
	}
	return named
}

// Sort orders the findings by their position in the input.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			strings.Compare(a.Path, b.Path), strings.Compare(a.Message, b.Message))
	})
}

// Error returns one line for each finding.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
