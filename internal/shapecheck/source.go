package shapecheck

import (
	"go/ast"
	"go/token"
	"go/types"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/tools/go/analysis"
)

// nonTestFiles returns the files of the package that are not tests. It returns
// none for the main package that the go command generates for a test binary.
func nonTestFiles(pass *analysis.Pass) []*ast.File {
	if pass.Pkg.Name() == "main" && strings.HasSuffix(pass.Pkg.Path(), ".test") {
		return nil
	}
	var files []*ast.File
	for _, file := range pass.Files {
		if !strings.HasSuffix(fileName(pass, file), "_test.go") {
			files = append(files, file)
		}
	}
	return files
}

func fileName(pass *analysis.Pass, file *ast.File) string {
	return filepath.Base(pass.Fset.File(file.FileStart).Name())
}

// forEachImport calls visit with the path and position of each import.
func forEachImport(file *ast.File, visit func(path string, at token.Pos)) {
	for _, spec := range file.Imports {
		if path, err := strconv.Unquote(spec.Path.Value); err == nil {
			visit(path, spec.Pos())
		}
	}
}

// forEachGlobalUse calls visit for each use of a package-level name of another
// package, including uses through renamed and dot imports.
func forEachGlobalUse(pass *analysis.Pass, file *ast.File, visit func(path, name string, at token.Pos)) {
	ast.Inspect(file, func(node ast.Node) bool {
		identifier, ok := node.(*ast.Ident)
		if !ok {
			return true
		}
		if object := pass.TypesInfo.Uses[identifier]; isImportedGlobal(pass, object) {
			visit(object.Pkg().Path(), object.Name(), identifier.Pos())
		}
		return true
	})
}

func isImportedGlobal(pass *analysis.Pass, object types.Object) bool {
	if object == nil || object.Pkg() == nil || object.Pkg() == pass.Pkg {
		return false
	}
	return object.Parent() == object.Pkg().Scope()
}
