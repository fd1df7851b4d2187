package shapecheck

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"golang.org/x/tools/go/analysis/analysistest"
)

func TestAnalyzersReportViolations(t *testing.T) {
	if err := Skip.Flags.Set("known", filepath.Join(analysistest.TestData(), "known-red.txt")); err != nil {
		t.Fatal(err)
	}
	for _, analyzer := range Analyzers {
		t.Run(analyzer.Name, func(t *testing.T) {
			analysistest.Run(t, analysistest.TestData(), analyzer, analyzedPackages[analyzer.Name]...)
		})
	}
}

var analyzedPackages = map[string][]string{
	Concurrency.Name: {
		"kingcupcourse/internal/entry/concurrency", "kingcupcourse/internal/ring",
		"kingcupcourse/internal/supervisor",
	},
	Decision.Name: {"kingcupcourse/internal/decision/place", "kingcupcourse/internal/decisionlog"},
	Skip.Name:     {"kingcupcourse/internal/skipped"},
	Wire.Name:     {"kingcupcourse/internal/wire", "kingcupcourse/platform"},
	Tree.Name: {
		"kingcupcourse/internal/entry/unbuilt", "kingcupcourse/internal/quiet",
		"kingcupcourse/internal/supervisor",
	},
}

// The command must print the position and reason of each finding and exit
// with a non-zero status, or CI would pass despite the findings.
func TestCommandFailsOnModuleWithViolations(t *testing.T) {
	folder := t.TempDir()
	command := filepath.Join(folder, "kingcup-shapecheck")
	run(t, ".", 0, "go", "build", "-o", command, "kingcupcourse/cmd/kingcup-shapecheck")
	module := filepath.Join(folder, "module")
	if err := os.CopyFS(module, os.DirFS("testdata/module")); err != nil {
		t.Fatal(err)
	}
	const exitWithFindings = 3
	found := run(t, module, exitWithFindings, command, "./...")
	goldie.New(t).Assert(t, "module", []byte(sorted(strings.ReplaceAll(found, module, "."))))
}

func run(t *testing.T, folder string, wantExit int, name string, arguments ...string) string {
	t.Helper()
	command := exec.CommandContext(t.Context(), name, arguments...)
	command.Dir = folder
	output, err := command.CombinedOutput()
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		t.Fatal(err)
	}
	if got := command.ProcessState.ExitCode(); got != wantExit {
		t.Fatalf("%s exits with %d, want %d:\n%s", name, got, wantExit, output)
	}
	return string(output)
}

// sorted sorts the findings, which the checker prints in the order in which
// the packages finish.
func sorted(output string) string {
	lines := strings.Split(strings.TrimSpace(output), "\n")
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}
