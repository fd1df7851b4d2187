// Package shapecheck holds the static checks that keep the code base in its
// shape: supervisor trees, duties joined by bounded rings, and decisions that
// neither read a clock nor touch the network. It also finds skipped tests, and
// names of the users' platform outside its adapter.
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

// isWithin reports whether a package is the parent or lies below it.
func isWithin(path, parent string) bool {
	return path == parent || strings.HasPrefix(path, parent+"/")
}
