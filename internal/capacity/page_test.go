//go:build capacity

package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	page   = "../../docs/CAPACITY.md"
	folder = "../../docs/capacity"
)

// targets is the value of x at the target size of the system, by experiment.
var targets = map[string]float64{
	"hosts": 380, "members": 1140, "news": 1, "parse": 22_000, "accounts": 22_000, "changes": 2,
	"requests": 2300, "tokens": 970_000 / 380.0, "endpoints": 18, "journal": 100_000, "herd": 380, "controls": 1140, "flush": 100, "pools": 40, "recovery": 380, "settling": 80, "regions": 2,
}

// TestPage writes the tables of all measurements into the page.
func TestPage(t *testing.T) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.csv"))
	if err != nil {
		t.Fatal(err)
	}
	result := string(text)
	for _, file := range files {
		series, err := Read(file)
		if err != nil {
			t.Fatal(err)
		}
		name := strings.TrimSuffix(filepath.Base(file), ".csv")
		replaced, ok := Replace(result, name, Table(series, targets[name]))
		if !ok {
			t.Logf("the page has no markers for the table %s", name)
		}
		result = replaced
	}
	if err := os.WriteFile(page, []byte(result), 0o644); err != nil {
		t.Fatal(err)
	}
}
