package shapecheck

import (
	"go/ast"
	"go/token"
	"go/types"

	"golang.org/x/tools/go/analysis"
)

// Concurrency reports goroutines, channels, locks and timers that are created
// outside the packages ring and supervisor.
var Concurrency = &analysis.Analyzer{
	Name: "shapeconcurrency",
	Doc:  "report goroutines, channels, locks and sleeps outside internal/ring and internal/supervisor",
	Run:  runConcurrency,
}

const errgroupPath = "golang.org/x/sync/errgroup"

// allowedSyncNames lists the names of package sync whose use neither makes
// duties wait for each other nor starts a goroutine.
var allowedSyncNames = map[string]bool{
	"Pool": true, "Once": true, "OnceFunc": true, "OnceValue": true, "OnceValues": true,
}

// forbiddenGlobals gives the reason for each forbidden package-level name.
var forbiddenGlobals = map[string]map[string]string{
	"time": {
		"Sleep":     "a duty waits with ring.TakeUntil or ring.LoopUntil",
		"After":     "a duty waits with ring.TakeUntil or ring.LoopUntil",
		"Tick":      "a duty gets its ticks from ring.LoopUntil",
		"NewTicker": "a duty gets its ticks from ring.LoopUntil",
		"AfterFunc": "it runs its function on a goroutine outside the supervisor tree",
	},
	"context": {"AfterFunc": "it runs its function on a goroutine outside the supervisor tree"},
	"runtime": {"Gosched": "a duty waits on a ring and does not spin"},
	"reflect": {"MakeChan": "duties are connected by rings"},
}

func runConcurrency(pass *analysis.Pass) (any, error) {
	if isWithin(pass.Pkg.Path(), ringPath) || isWithin(pass.Pkg.Path(), supervisorPath) {
		return nil, nil
	}
	for _, file := range nonTestFiles(pass) {
		reportGoAndMake(pass, file)
		reportConcurrencyNames(pass, file)
	}
	return nil, nil
}

func reportGoAndMake(pass *analysis.Pass, file *ast.File) {
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.GoStmt:
			pass.Reportf(n.Pos(), "go statement: make the work a duty and give it to a supervisor")
		case *ast.CallExpr:
			if makesChannel(pass, n) {
				pass.Reportf(n.Pos(), "channel made: connect duties by a ring, reply by a ring.Reply")
			}
		}
		return true
	})
}

// makesChannel reports whether the call is make or new with a channel type.
func makesChannel(pass *analysis.Pass, call *ast.CallExpr) bool {
	identifier, ok := ast.Unparen(call.Fun).(*ast.Ident)
	if !ok || len(call.Args) == 0 {
		return false
	}
	builtin, ok := pass.TypesInfo.Uses[identifier].(*types.Builtin)
	if !ok || (builtin.Name() != "make" && builtin.Name() != "new") {
		return false
	}
	return hasChannel(pass.TypesInfo.TypeOf(call.Args[0]))
}

// hasChannel reports whether the type is a channel or a type parameter whose
// constraint is a channel type.
func hasChannel(t types.Type) bool {
	constraint, ok := t.Underlying().(*types.Interface)
	if !ok {
		_, channel := t.Underlying().(*types.Chan)
		return channel
	}
	for embedded := range constraint.EmbeddedTypes() {
		if union, ok := embedded.(*types.Union); ok && union.Len() > 0 {
			_, channel := union.Term(0).Type().Underlying().(*types.Chan)
			return channel
		}
	}
	return false
}

func reportConcurrencyNames(pass *analysis.Pass, file *ast.File) {
	forEachImport(file, func(path string, at token.Pos) {
		if isWithin(path, errgroupPath) {
			pass.Reportf(at, "import of %s: it starts goroutines outside the supervisor tree", path)
		}
	})
	forEachGlobalUse(pass, file, func(path, name string, at token.Pos) {
		if path == "sync" && !allowedSyncNames[name] {
			pass.Reportf(at, "sync.%s: duties share no state and communicate only through rings", name)
		}
		if reason, found := forbiddenGlobals[path][name]; found {
			pass.Reportf(at, "%s.%s: %s", path, name, reason)
		}
	})
}
