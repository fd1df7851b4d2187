package shapecheck

import (
	"go/ast"
	"go/token"
	"strconv"
	"strings"

	"golang.org/x/tools/go/analysis"
)

// Wire reports names of the users' platform's protocol outside the adapter.
var Wire = &analysis.Analyzer{
	Name: "shapewire",
	Doc:  "report names of the users' platform's wire outside platform/",
	Run:  runWire,
}

// wireNames lists substrings that only the adapter's string literals may
// contain.
var wireNames = []string{
	"Attempt-Id", "Response-Seal", "Not-Executed", "Expect-Instance", "Expect-Version", "Deadline-Ms", "Token-Counts",
	"Prompt-Prefix", "Length-Hint", "Kv-From", "Kv-Backup", "Kv-Fetch", "Pin-Ms", "TrafficSplit", "KINGCUPCOURSE_CONFIG",
	"/kingcupcourse/",
}

// allowedStrings lists literals that contain one of wireNames but are not part
// of the platform's protocol: the header of kingcupcourse's own interface.
var allowedStrings = map[string]bool{"Kingcup-Deadline-Ms": true}

func runWire(pass *analysis.Pass) (any, error) {
	if isWithin(pass.Pkg.Path(), adapterPath) || isWithin(pass.Pkg.Path(), shapecheckPath) {
		return nil, nil
	}
	for _, file := range nonTestFiles(pass) {
		ast.Inspect(file, func(node ast.Node) bool {
			if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				reportWireName(pass, literal)
			}
			return true
		})
	}
	return nil, nil
}

func reportWireName(pass *analysis.Pass, literal *ast.BasicLit) {
	text, err := strconv.Unquote(literal.Value)
	if err != nil || allowedStrings[text] {
		return
	}
	for _, name := range wireNames {
		if strings.Contains(text, name) {
			pass.Reportf(literal.Pos(), "%q is a name of the platform's wire: only platform/ may hold it", name)
			return
		}
	}
}
