package shapecheck

import (
	"go/ast"
	"go/token"

	"golang.org/x/tools/go/analysis"
)

// Tree reports files named supervisor.go that do not create a supervisor. Each
// folder with duties creates its supervisor in the file of that name.
var Tree = &analysis.Analyzer{
	Name: "shapetree",
	Doc:  "report supervisor.go files that do not call supervisor.New",
	Run:  runTree,
}

const supervisorFile = "supervisor.go"

func runTree(pass *analysis.Pass) (any, error) {
	path := pass.Pkg.Path()
	if !isWithin(path, internalPath) || path == supervisorPath {
		return nil, nil
	}
	for _, file := range nonTestFiles(pass) {
		if fileName(pass, file) == supervisorFile && !buildsSupervisor(pass, file) {
			pass.Reportf(file.Name.Pos(), "%s does not call supervisor.New", supervisorFile)
		}
	}
	return nil, nil
}

func buildsSupervisor(pass *analysis.Pass, file *ast.File) bool {
	found := false
	forEachGlobalUse(pass, file, func(path, name string, _ token.Pos) {
		found = found || (path == supervisorPath && name == "New")
	})
	return found
}
