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
// known-red tests. Skip methods of other packages are not reported: property
// tests use one to discard a generated case.
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

// knownRedEntryOf returns the entry for a test function, with the package path
// relative to the module. Tests of an external _test package are listed under
// the package that they test.
func knownRedEntryOf(packagePath, function string) knownRedEntry {
	relative := strings.TrimPrefix(strings.TrimSuffix(packagePath, "_test"), modulePath)
	return knownRedEntry{"." + relative, function}
}

// readKnownRed reads the test functions from the list, whose lines begin with
// "package | test |". Subtests stand for their test function.
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
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Split(scanner.Text(), " | ")
		if strings.HasPrefix(scanner.Text(), "#") || len(fields) < 2 {
			continue
		}
		function, _, _ := strings.Cut(fields[1], "/")
		known[knownRedEntry{fields[0], function}] = true
	}
	return known, scanner.Err()
}
