package shapecheck

import (
	"bufio"
	"go/ast"
	"go/types"
	"os"
	"strings"

	"golang.org/x/tools/go/analysis"
)

// Skip reports tests that are skipped without an entry in the list of
// known-red tests. A property test may discard a drawn case: the method of
// another package with the name Skip is not reported.
var Skip = &analysis.Analyzer{
	Name: "shapeskip",
	Doc:  "report tests that are skipped without an entry in the known-red list",
	Run:  runSkip,
}

var knownRedFile string

func init() {
	Skip.Flags.StringVar(&knownRedFile, "known", "", "file of known-red tests (default: none is known)")
}

func runSkip(pass *analysis.Pass) (any, error) {
	known, err := readKnownRed(knownRedFile)
	if err != nil {
		return nil, err
	}
	for _, file := range pass.Files {
		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if ok && !known[knownRedEntryOf(pass.Pkg.Path(), function.Name.Name)] {
				reportSkips(pass, function)
			}
		}
	}
	return nil, nil
}

func reportSkips(pass *analysis.Pass, function *ast.FuncDecl) {
	ast.Inspect(function, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if ok && isTestSkip(pass.TypesInfo.Uses[selector.Sel]) {
			pass.Reportf(selector.Sel.Pos(), "%s is skipped without an entry in the known-red list", function.Name.Name)
		}
		return true
	})
}

func isTestSkip(object types.Object) bool {
	method, ok := object.(*types.Func)
	if !ok || method.Pkg() == nil || method.Pkg().Path() != "testing" {
		return false
	}
	switch method.Name() {
	case "Skip", "Skipf", "SkipNow":
		return true
	}
	return false
}

// knownRedEntry names a test function in the known-red list.
type knownRedEntry struct{ packagePath, function string }

// knownRedEntryOf names a function as the list does: the package relative to the
// module, also for the tests outside the package.
func knownRedEntryOf(packagePath, function string) knownRedEntry {
	relative := strings.TrimPrefix(strings.TrimSuffix(packagePath, "_test"), modulePath)
	return knownRedEntry{"." + relative, function}
}

// readKnownRed reads the test functions of the list, whose lines begin with
// "package | test |".
func readKnownRed(name string) (map[knownRedEntry]bool, error) {
	known := map[knownRedEntry]bool{}
	if name == "" {
		return known, nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Split(lines.Text(), " | ")
		if strings.HasPrefix(lines.Text(), "#") || len(fields) < 2 {
			continue
		}
		function, _, _ := strings.Cut(fields[1], "/")
		known[knownRedEntry{fields[0], function}] = true
	}
	return known, lines.Err()
}
