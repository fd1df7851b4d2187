package shapecheck

import (
	"go/ast"
	"go/token"
	"strconv"
	"strings"

	"golang.org/x/tools/go/analysis"
)

// Wire reports names of the users' platform outside the adapter.
var Wire = &analysis.Analyzer{
	Name: "shapewire",
	Doc:  "report names of the users' platform's wire outside platform/",
	Run:  runWire,
}

// wireNames are parts of strings that only the adapter may hold.
var wireNames = []string{
	"Attempt-Id", "Response-Seal", "Not-Executed", "Expect-Instance", "Expect-Version", "Deadline-Ms", "Token-Counts",
	"Prompt-Prefix", "Length-Hint", "Kv-From", "Kv-Backup", "Kv-Fetch", "Pin-Ms", "TrafficSplit", "KINGCUPCOURSE_CONFIG",
	"/kingcupcourse/",
}

// wireAllowed lists what holds other names that contain one of the wire's:
// the header of the product's own interface.
var wireAllowed = map[string]bool{"Kingcup-Deadline-Ms": true}

func runWire(pass *analysis.Pass) (any, error) {
	if within(pass.Pkg.Path(), adapterPath) || within(pass.Pkg.Path(), shapecheckPath) {
		return nil, nil
	}
	for _, file := range productFiles(pass) {
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
	if err != nil || wireAllowed[text] {
		return
	}
	for _, name := range wireNames {
		if strings.Contains(text, name) {
			pass.Reportf(literal.Pos(), "%q is a name of the platform's wire: only platform/ may hold it", name)
			return
		}
	}
}
