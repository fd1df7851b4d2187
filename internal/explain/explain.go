// Package explain finds in the log lines of many hosts what became of one
// request or one move, and the events around it that may have caused it.
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
	// causeWindowBefore and after are how far around a request's lines an event of its
	// endpoints or host is taken as a possible cause: an outage of the store
	// and a restart show within seconds.
	causeWindowBefore = 10 * time.Second
	causeWindowAfter  = 3 * time.Second
	// maxLineBytes bounds one log line.
	maxLineBytes = 1 << 20
)

// causeEvents are the events of an endpoint or a host that may explain an end.
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
	// Text is the line as it was written.
	Text string
	// PossibleCause tells that the line is not about the request itself.
	PossibleCause bool

	fields map[string]any
}

// Log is the lines of all hosts.
type Log struct {
	lines []Line
	// Skipped counts the lines that are no log lines of ours.
	Skipped int
}

// Read adds the lines of a log. Text before a line's opening brace, such as a
// collector's time stamp, is passed over.
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

// RequestLines returns the lines about a request, and the possible causes around
// them, in the order of their times.
func (l *Log) RequestLines(id string) []Line {
	about := l.filter(func(line *Line) bool {
		return line.stringField("request") == id || strings.HasPrefix(line.stringField("attempt"), id+"/")
	})
	if len(about) == 0 {
		return nil
	}
	hosts, endpoints := map[string]bool{}, map[string]bool{}
	for i := range about {
		hosts[about[i].Host] = true
		if endpoint := about[i].stringField("endpoint"); endpoint != "" {
			endpoints[endpoint] = true
		}
	}
	from, to := about[0].Time.Add(-causeWindowBefore), about[len(about)-1].Time.Add(causeWindowAfter)
	around := l.filter(func(line *Line) bool {
		return !line.Time.Before(from) && !line.Time.After(to) && slices.Contains(causeEvents, line.Message) &&
			hosts[line.Host] && (line.stringField("endpoint") == "" || endpoints[line.stringField("endpoint")])
	})
	for i := range around {
		around[i].PossibleCause = true
	}
	return sortByTime(append(about, around...))
}

// MoveLines returns the lines about a move: of a service, or one with that name.
func (l *Log) MoveLines(name string) []Line {
	return sortByTime(l.filter(func(line *Line) bool {
		return line.stringField("move") == name || (line.stringField("service") == name && line.stringField("target") != "") ||
			(line.stringField("service") == name && line.stringField("version") != "" && line.Message == "version found bad") ||
			(line.stringField("service") == name && line.Message == "move's record not written")
	}))
}

func (l *Log) filter(want func(*Line) bool) []Line {
	var found []Line
	for i := range l.lines {
		if want(&l.lines[i]) {
			found = append(found, l.lines[i])
		}
	}
	return sortByTime(found)
}

func sortByTime(lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host))
	})
	return lines
}

// MissingEvents names what is needed to explain a request and is not in its lines.
func MissingEvents(lines []Line) []string {
	has := map[string]bool{}
	for i := range lines {
		has[lines[i].Message] = true
	}
	var missing []string
	switch {
	case !has["attempt ended"] && !has["request refused"]:
		missing = append(missing, "how the request ended (attempt ended, or request refused): is the log of the host that took it here?")
	case has["attempt ended"]:
		for i := range lines {
			endpoint := lines[i].stringField("endpoint")
			if lines[i].Message == "attempt ended" && lines[i].stringField("result") == "lost" && !has["endpoint's entry removed"] {
				missing = append(missing, "why the connection to "+endpoint+" ended: its entry was not removed in that time")
			}
		}
	}
	if !has["configuration in force"] {
		missing = append(missing, "when the configuration was taken (configuration in force): it is older than the lines around the request")
	}
	return missing
}
