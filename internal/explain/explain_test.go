package explain

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// sample holds lines of two hosts. The engine that served request r1 crashed.
const sample = `
2.1 front-1 {"level":"info","ts":"2026-01-01T00:00:10.000Z","msg":"attempt ended","host":"front-1","request":"r1","endpoint":"i-7","result":"lost","detail":"EOF"}
{"level":"info","ts":"2026-01-01T00:00:09.000Z","msg":"configuration in force","host":"front-1","version":3}
{"level":"info","ts":"2026-01-01T00:00:11.500Z","msg":"endpoint's entry removed","host":"front-1","endpoint":"i-7"}
{"level":"info","ts":"2026-01-01T00:00:11.600Z","msg":"endpoint's entry removed","host":"front-1","endpoint":"i-8"}
{"level":"info","ts":"2026-01-01T00:00:11.500Z","msg":"endpoint's entry removed","host":"front-2","endpoint":"i-7"}
{"level":"info","ts":"2026-01-01T00:00:10.010Z","msg":"request refused","host":"front-1","request":"r1","reason":"answer_incomplete"}
{"level":"info","ts":"2026-01-01T00:00:10.020Z","msg":"request refused","host":"front-2","request":"r2","reason":"shed"}
{"level":"info","ts":"2026-01-01T00:00:30.000Z","msg":"platform lost","host":"front-1","prefix":"config"}
{"level":"info","ts":"2026-01-01T00:00:05.000Z","msg":"move's stage","host":"front-2","service":"pool","target":"v2","stage":"canary"}
{"level":"warn","ts":"2026-01-01T00:00:06.000Z","msg":"version found bad","host":"front-2","service":"pool","version":"v2"}
{"level":"info","ts":"2026-01-01T00:00:04.000Z","msg":"order to move a service","host":"front-1","service":"pool","target":"v2"}
not a line
{"cut off
`

func readSample(t *testing.T) *Log {
	t.Helper()
	log := &Log{}
	if err := log.Read(strings.NewReader(sample)); err != nil {
		t.Fatal(err)
	}
	return log
}

func formatLines(lines []Line) []byte {
	var out strings.Builder
	for _, line := range lines {
		if line.PossibleCause {
			out.WriteString("~ ")
		}
		out.WriteString(line.Text + "\n")
	}
	return []byte(out.String())
}

func TestRequestLines(t *testing.T) {
	log := readSample(t)
	lines := log.RequestLines("r1")
	goldie.New(t).Assert(t, "request", formatLines(lines))
	if missing := MissingEvents(lines); len(missing) != 0 {
		t.Errorf("missing: %q", missing)
	}
	if log.Skipped != 3 {
		t.Errorf("%d lines skipped, want 3", log.Skipped)
	}
	if lines := log.RequestLines("r"); lines != nil {
		t.Errorf("lines about an unknown request: %v", lines)
	}
}

func TestMissingEvents(t *testing.T) {
	log := readSample(t)
	if missing := MissingEvents(log.RequestLines("r2")); len(missing) != 1 || !strings.Contains(missing[0], "configuration") {
		t.Errorf("%q", missing)
	}
	if missing := MissingEvents(nil); len(missing) != 2 || !strings.Contains(missing[0], "how the request ended") {
		t.Errorf("%q", missing)
	}
}

func TestMoveLines(t *testing.T) {
	goldie.New(t).Assert(t, "move", formatLines(readSample(t).MoveLines("pool")))
}
