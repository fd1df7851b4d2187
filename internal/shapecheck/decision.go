package shapecheck

import (
	"go/token"
	"strings"

	"golang.org/x/tools/go/analysis"
)

// Decision reports imports and calls that make a decision package depend on
// message encoding, input and output, the clock, the global random source or
// other goroutines.
var Decision = &analysis.Analyzer{
	Name: "shapedecision",
	Doc:  "report imports and calls that keep internal/decision from being pure",
	Run:  runDecision,
}

// forbiddenDecisionImports lists the packages that a decision package must not
// import, each with all packages below it.
var forbiddenDecisionImports = []string{
	"net", "os", "io", "bufio", "encoding", "log", "sync", "context",
	"go.uber.org/zap", "github.com/prometheus", ringPath, supervisorPath,
}

var forbiddenTimeNames = map[string]bool{"Now": true, "Since": true, "Until": true, "NewTimer": true}

func runDecision(pass *analysis.Pass) (any, error) {
	if !isWithin(pass.Pkg.Path(), decisionPath) {
		return nil, nil
	}
	for _, file := range nonTestFiles(pass) {
		forEachImport(file, func(path string, at token.Pos) { reportDecisionImport(pass, path, at) })
		forEachGlobalUse(pass, file, func(path, name string, at token.Pos) {
			reportDecisionUse(pass, path, name, at)
		})
	}
	return nil, nil
}

func reportDecisionImport(pass *analysis.Pass, path string, at token.Pos) {
	for _, forbidden := range forbiddenDecisionImports {
		if isWithin(path, forbidden) {
			pass.Reportf(at, "import of %s: decision packages must not depend on encoding, input, output or concurrency", path)
		}
	}
}

func reportDecisionUse(pass *analysis.Pass, path, name string, at token.Pos) {
	switch {
	case path == "time" && forbiddenTimeNames[name]:
		pass.Reportf(at, "time.%s: a decision gets the time as an argument", name)
	case isWithin(path, "math/rand") && isGlobalRandom(name):
		pass.Reportf(at, "rand.%s: a decision gets its *rand.Rand as an argument", name)
	}
}

// isGlobalRandom reports whether the name, declared by package rand, is a
// function that uses the global random source. Constructors and types do not.
func isGlobalRandom(name string) bool {
	switch name {
	case "Rand", "Source", "Source64", "Zipf", "PCG", "ChaCha8":
		return false
	}
	return !strings.HasPrefix(name, "New")
}
