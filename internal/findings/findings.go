// Package findings collects every problem of an input with its place, so
// that all are reported together and not one a try.
package findings

import (
	"fmt"
	"strings"
)

// Finding is one problem. Place is a file with line, or a JSON path such as
// "pools[0].endpoints[2].address".
type Finding struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// String returns "place: message".
func (f Finding) String() string { return f.Place + ": " + f.Message }

// List is the error that holds all findings of one input.
type List []Finding

// Add appends a finding with a formatted message.
func (l *List) Add(place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Error returns one line a finding.
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
