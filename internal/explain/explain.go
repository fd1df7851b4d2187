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
	// before and after are how far around a request's lines an event of its
	// endpoints or host is taken as a possible cause: an outage of the store
	// and a restart show within seconds.
	before = 10 * time.Second
	after  = 3 * time.Second
	// maxLineBytes bounds one log line.
	maxLineBytes = 1 << 20
)

// causes are the events of an endpoint or a host that may explain an end.
var causes = []string{
	"endpoint's entry", "endpoint's entry removed", "endpoints gone after an outage of the store",
	"keeper of the ledger", "platform lost", "platform regained", "configuration in force",
	"starting", "draining", "stopped", "child failed", "child panicked",
}

// Line is one log line.
type Line struct {
	At      time.Time
	Host    string
	Message string
	// Text is the line as it was written.
	Text string
	// Cause tells that the line is not about the request itself.
	Cause bool

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
		line, ok := parse(scanner.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return eris.Wrap(scanner.Err(), "read log")
}

func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var line Line
	if json.Unmarshal(text[begin:], &line.fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", line.text("ts"))
	if err != nil || line.text("msg") == "" {
		return Line{}, false
	}
	line.At, line.Host, line.Message, line.Text = at, line.text("host"), line.text("msg"), string(text[begin:])
	return line, true
}

func (l *Line) text(field string) string {
	value, _ := l.fields[field].(string)
	return value
}

// Request returns the lines about a request, and the possible causes around
// them, in the order of their times.
func (l *Log) Request(id string) []Line {
	about := l.matching(func(line *Line) bool {
		return line.text("request") == id || strings.HasPrefix(line.text("attempt"), id+"/")
	})
	if len(about) == 0 {
		return nil
	}
	hosts, endpoints := map[string]bool{}, map[string]bool{}
	for i := range about {
		hosts[about[i].Host] = true
		if endpoint := about[i].text("endpoint"); endpoint != "" {
			endpoints[endpoint] = true
		}
	}
	from, to := about[0].At.Add(-before), about[len(about)-1].At.Add(after)
	around := l.matching(func(line *Line) bool {
		return !line.At.Before(from) && !line.At.After(to) && slices.Contains(causes, line.Message) &&
			hosts[line.Host] && (line.text("endpoint") == "" || endpoints[line.text("endpoint")])
	})
	for i := range around {
		around[i].Cause = true
	}
	return inOrder(append(about, around...))
}

// Move returns the lines about a move: of a service, or one with that name.
func (l *Log) Move(name string) []Line {
	return inOrder(l.matching(func(line *Line) bool {
		return line.text("move") == name || (line.text("service") == name && line.text("target") != "") ||
			(line.text("service") == name && line.text("version") != "" && line.Message == "version found bad") ||
			(line.text("service") == name && line.Message == "move's record not written")
	}))
}

func (l *Log) matching(want func(*Line) bool) []Line {
	var found []Line
	for i := range l.lines {
		if want(&l.lines[i]) {
			found = append(found, l.lines[i])
		}
	}
	return inOrder(found)
}

func inOrder(lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host))
	})
	return lines
}

// Missing names what is needed to explain a request and is not in its lines.
func Missing(lines []Line) []string {
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
			endpoint := lines[i].text("endpoint")
			if lines[i].Message == "attempt ended" && lines[i].text("result") == "lost" && !has["endpoint's entry removed"] {
				missing = append(missing, "why the connection to "+endpoint+" ended: its entry was not removed in that time")
			}
		}
	}
	if !has["configuration in force"] {
		missing = append(missing, "when the configuration was taken (configuration in force): it is older than the lines around the request")
	}
	return missing
}
