package reference

import (
	"go/parser"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	root = "../.."
	// writeEnv names the environment variable that makes the test update the
	// pages.
	writeEnv = "KINGCUP_WRITE_REFERENCE"
)

func TestPagesMatchSource(t *testing.T) {
	for _, page := range Pages() {
		t.Run(page.Path, func(t *testing.T) { checkPage(t, page) })
	}
}

func checkPage(t *testing.T, page Page) {
	path := filepath.Join(root, filepath.FromSlash(page.Path))
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	updated, err := page.Update(root, string(text))
	if err != nil {
		t.Fatal(err)
	}
	if updated == string(text) {
		return
	}
	if os.Getenv(writeEnv) == "1" {
		if err := os.WriteFile(path, []byte(updated), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	old, wanted := strings.Split(string(text), "\n"), strings.Split(updated, "\n")
	for i := range min(len(old), len(wanted)) {
		if old[i] != wanted[i] {
			t.Errorf("%s:%d is\n%s\nwant\n%s", page.Path, i+1, old[i], wanted[i])
			break
		}
	}
	t.Errorf("%s is out of date; run %s=1 go test ./internal/reference", page.Path, writeEnv)
}

func TestTablesContainExpectedRows(t *testing.T) {
	for _, c := range []struct {
		name  string
		write func(string) (string, error)
		want  []string
	}{
		{"settings", settingsTables, []string{
			"| `host` | string | yes | Host is the name of the entry host that the process runs on. |",
			"| `peers` | list of string |  | ",
			"| `log` | [Log](#log) |  | ",
		}},
		{"manifest", manifestTables, []string{
			"| `regions` | list of [Region](#region) | yes | ",
			"| `max_tier` | integer |  | ",
			"| `checks_fence` | true or false |  | ",
		}},
		{"metrics", metricTable, []string{
			"| `kingcup_manifest_version` | gauge |  | Version of the manifest in force. | `internal/control` |",
			"| `kingcup_ring_depth` | computed when read | `ring` | ",
			"| `kingcup_queue_depth` | gauge | `pool`, `tier` | ",
			"| `kingcup_entry_fallback_total` | counter | `result` | ",
		}},
		{"log events", eventTable, []string{
			"| `internal/control` | error | manifest refused |",
			"| `internal/process` | info | draining |",
			"| `internal/entry/callers` | info | placed |",
		}},
		{"limits", limitTable, []string{
			"| `internal/supervisor` | `maxHeaderBytes` | ",
			"| `internal/entry/callers` | `bodyTimeout` | ",
			"| `internal/manifest` | `MaxSlots` | ",
		}},
	} {
		written, err := c.write(root)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		for _, want := range c.want {
			if !strings.Contains(written, want) {
				t.Errorf("%s: no row %q in\n%s", c.name, want, written)
			}
		}
	}
}

func TestFormatValue(t *testing.T) {
	for source, want := range map[string]string{
		"32 << 10":               "32 KiB",
		"1 << 20":                "1 MiB",
		"10 * time.Second":       "10 s",
		"300 * time.Millisecond": "300 ms",
		"time.Second":            "1 s",
		"65_536":                 "65,536",
		"1 << 3":                 "",
		"f()":                    "",
		"2 * other":              "",
	} {
		parsed, err := parser.ParseExpr(source)
		if err != nil {
			t.Fatal(err)
		}
		got, err := formatValue(parsed)
		if got != want || (err == nil) != (want != "") {
			t.Errorf("%s: got %q, %v, want %q", source, got, err, want)
		}
	}
}

func TestReplaceChangesOnlyTheSection(t *testing.T) {
	page := "a\n<!-- begin generated: x -->\nold\n<!-- end generated: x -->\nb\n"
	got, err := replaceSection(page, "x", "new\n")
	want := "a\n<!-- begin generated: x -->\n\nnew\n\n<!-- end generated: x -->\nb\n"
	if err != nil || got != want {
		t.Errorf("got %q, %v", got, err)
	}
	if _, err := replaceSection(page, "y", "new\n"); err == nil {
		t.Error("accepted a page without the markers")
	}
}

func TestFieldWithoutCommentIsAnError(t *testing.T) {
	folder := t.TempDir()
	for name, content := range map[string]string{
		"internal/core/core.go": "package core\n",
		"internal/x/x.go":       "package x\n\n// T is one.\ntype T struct {\n\tA int `json:\"a\"`\n}\n",
	} {
		path := filepath.Join(folder, filepath.FromSlash(name))
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	_, err := fieldTables(folder, "internal/x", "T")
	if err == nil || !strings.Contains(err.Error(), "the field a has no comment") {
		t.Errorf("got %v", err)
	}
}
