// Package reference writes the reference tables of the pages for operators
// from the source: settings and manifest fields, metrics, log events and
// limits. Its test fails when a page is out of step.
package reference

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// source is the parsed Go files of a folder and those below it.
type source struct {
	files []sourceFile
}

// sourceFile is one file with its folder, as a path from the root.
type sourceFile struct {
	folder string
	syntax *ast.File
}

// parseSource reads the Go files under a folder of the root. It leaves out tests,
// test data and the folders in skip.
func parseSource(root, folder string, skip ...string) (*source, error) {
	parsed := &source{}
	files := token.NewFileSet()
	err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		name = filepath.ToSlash(name)
		if entry.IsDir() {
			if entry.Name() == "testdata" || slices.Contains(skip, name) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		syntax, err := parser.ParseFile(files, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		parsed.files = append(parsed.files, sourceFile{filepath.ToSlash(filepath.Dir(name)), syntax})
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("read the source: %w", err)
	}
	return parsed, nil
}

// forEachCall passes each call in the source to visit, with its folder.
func (s *source) forEachCall(visit func(folder string, call *ast.CallExpr)) {
	for _, file := range s.files {
		ast.Inspect(file.syntax, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok {
				visit(file.folder, call)
			}
			return true
		})
	}
}

// types returns the type declarations by name. The documentation of a
// declaration of one type is moved to the type.
func (s *source) types() map[string]*ast.TypeSpec {
	found := map[string]*ast.TypeSpec{}
	for _, file := range s.files {
		for _, declaration := range file.syntax.Decls {
			general, ok := declaration.(*ast.GenDecl)
			if !ok || general.Tok != token.TYPE {
				continue
			}
			for _, spec := range general.Specs {
				named := spec.(*ast.TypeSpec)
				if named.Doc == nil {
					named.Doc = general.Doc
				}
				found[named.Name.Name] = named
			}
		}
	}
	return found
}

// stringLiteral returns the value of a string literal, and whether it is one.
func stringLiteral(e ast.Expr) (string, bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

// selectorName returns the name after the dot of a call such as log.Info.
func selectorName(call *ast.CallExpr) string {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	return selector.Sel.Name
}

// markdownTable writes a Markdown markdownTable.
func markdownTable(heading []string, rows [][]string) string {
	var out strings.Builder
	line := func(cells []string) {
		out.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	line(heading)
	line(slices.Repeat([]string{"---"}, len(heading)))
	for _, row := range rows {
		line(row)
	}
	return out.String()
}

// tableCell fits a comment or help text into a cell of a table.
func tableCell(s string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(s), " "), "|", `\|`)
}

func inlineCode(s string) string { return "`" + s + "`" }
