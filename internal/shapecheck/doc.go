// Package shapecheck implements the static checks of the code's architecture:
// supervisor trees, duties connected by bounded rings, and decision packages
// that use neither the clock nor the network. It also reports skipped tests,
// and names of the users' platform outside its adapter.
package shapecheck

import (
	"strings"

	"golang.org/x/tools/go/analysis"
)

const (
	modulePath     = "kingcupcourse"
	internalPath   = modulePath + "/internal"
	ringPath       = internalPath + "/ring"
	supervisorPath = internalPath + "/supervisor"
	decisionPath   = internalPath + "/decision"
	shapecheckPath = internalPath + "/shapecheck"
	adapterPath    = modulePath + "/platform"
)

// Analyzers lists all checks of this package.
var Analyzers = []*analysis.Analyzer{Concurrency, Decision, Skip, Tree, Wire}

// isWithin reports whether a package path equals the parent or is below it.
func isWithin(path, parent string) bool {
	return path == parent || strings.HasPrefix(path, parent+"/")
}
