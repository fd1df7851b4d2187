// Package explain searches the logs of several hosts for the lines about one
// request or one move, and for nearby events that may be the cause of a
// request's failure.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// causeWindowBefore and causeWindowAfter are the time before the first
	// and after the last line of a request in which an event of its hosts
	// or endpoints counts as a possible cause: an outage of the store and a
	// restart show within seconds.
	causeWindowBefore = 10 * time.Second
	causeWindowAfter  = 3 * time.Second
	// maxLineBytes limits the length of one log line.
	maxLineBytes = 1 << 20
)

// causeEvents are the log events of an endpoint or a host that may explain how
// a request ended.
var causeEvents = []string{
	"endpoint's entry", "endpoint's entry removed", "endpoints gone after an outage of the store",
	"keeper of the ledger", "platform lost", "platform regained", "configuration in force",
	"starting", "draining", "stopped", "child failed", "child panicked",
}

// Line is one log line.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	// Text is the JSON text of the line.
	Text string
	// PossibleCause is set for an event near the request that is not about
	// the request itself.
	PossibleCause bool

	fields map[string]any
}

// Log holds the log lines of all hosts.
type Log struct {
	lines []Line
	// Skipped is the number of lines that are not log lines of kingcupcourse.
	Skipped int
}

// Read adds the lines of a log. Text before the opening brace of a line, such as
// the time stamp of a log collector, is ignored.
func (l *Log) Read(from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return eris.Wrap(scanner.Err(), "read log")
}

func parseLine(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var line Line
	if json.Unmarshal(text[begin:], &line.fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", line.stringField("ts"))
	if err != nil || line.stringField("msg") == "" {
		return Line{}, false
	}
	line.Time, line.Host, line.Message, line.Text = at, line.stringField("host"), line.stringField("msg"), string(text[begin:])
	return line, true
}

func (l *Line) stringField(field string) string {
	value, _ := l.fields[field].(string)
	return value
}

// RequestLines returns the lines about a request and the possible causes around
// them, ordered by time.
func (l *Log) RequestLines(id string) []Line {
	requestLines := l.filter(func(line *Line) bool {
		return line.stringField("request") == id || strings.HasPrefix(line.stringField("attempt"), id+"/")
	})
	if len(requestLines) == 0 {
		return nil
	}
	hosts, endpoints := map[string]bool{}, map[string]bool{}
	for i := range requestLines {
		hosts[requestLines[i].Host] = true
		if endpoint := requestLines[i].stringField("endpoint"); endpoint != "" {
			endpoints[endpoint] = true
		}
	}
	from, to := requestLines[0].Time.Add(-causeWindowBefore), requestLines[len(requestLines)-1].Time.Add(causeWindowAfter)
	causeLines := l.filter(func(line *Line) bool {
		return !line.Time.Before(from) && !line.Time.After(to) && slices.Contains(causeEvents, line.Message) &&
			hosts[line.Host] && (line.stringField("endpoint") == "" || endpoints[line.stringField("endpoint")])
	})
	for i := range causeLines {
		causeLines[i].PossibleCause = true
	}
	return sortByTime(append(requestLines, causeLines...))
}

// MoveLines returns the lines about the move with this name, or about the moves
// of the service with this name.
func (l *Log) MoveLines(name string) []Line {
	return sortByTime(l.filter(func(line *Line) bool {
		return line.stringField("move") == name || (line.stringField("service") == name && line.stringField("target") != "") ||
			(line.stringField("service") == name && line.stringField("version") != "" && line.Message == "version found bad") ||
			(line.stringField("service") == name && line.Message == "move's record not written")
	}))
}

func (l *Log) filter(match func(*Line) bool) []Line {
	var matching []Line
	for i := range l.lines {
		if match(&l.lines[i]) {
			matching = append(matching, l.lines[i])
		}
	}
	return sortByTime(matching)
}

func sortByTime(lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host))
	})
	return lines
}

// MissingEvents describes the events that are needed to explain a request and
// are not among its lines.
func MissingEvents(lines []Line) []string {
	has := map[string]bool{}
	for i := range lines {
		has[lines[i].Message] = true
	}
	var missing []string
	switch {
	case !has["attempt ended"] && !has["request refused"]:
		missing = append(missing, "how the request ended (attempt ended, or request refused): is the log of the host that received it included?")
	case has["attempt ended"]:
		for i := range lines {
			endpoint := lines[i].stringField("endpoint")
			if lines[i].Message == "attempt ended" && lines[i].stringField("result") == "lost" && !has["endpoint's entry removed"] {
				missing = append(missing, "why the connection to "+endpoint+" was lost: its entry was not removed around that time")
			}
		}
	}
	if !has["configuration in force"] {
		missing = append(missing, "when the configuration was applied (configuration in force): earlier than the lines around the request")
	}
	return missing
}
