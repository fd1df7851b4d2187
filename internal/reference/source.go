// Package reference generates the reference tables of the operators'
// documentation from the source: settings and manifest fields, metrics, log
// events and limits. Its test fails if a page is out of date.
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

// source holds the parsed Go files of a folder and its subfolders.
type source struct {
	files []sourceFile
}

// sourceFile is a parsed file and its folder, relative to the root.
type sourceFile struct {
	folder string
	syntax *ast.File
}

// parseSource parses the Go files below a folder, which is relative to the
// root. It leaves out tests, test data and the folders in skip.
func parseSource(root, folder string, skip ...string) (*source, error) {
	parsed := &source{}
	fileSet := token.NewFileSet()
	err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		relative = filepath.ToSlash(relative)
		if entry.IsDir() {
			if entry.Name() == "testdata" || slices.Contains(skip, relative) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(relative, ".go") || strings.HasSuffix(relative, "_test.go") {
			return nil
		}
		syntax, err := parser.ParseFile(fileSet, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		parsed.files = append(parsed.files, sourceFile{filepath.ToSlash(filepath.Dir(relative)), syntax})
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("parse %s: %w", folder, err)
	}
	return parsed, nil
}

// forEachCall calls visit for each call expression in the source, with the
// folder of its file.
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

// types returns the type declarations by name. For a declaration without
// parentheses, the doc comment is copied to the type's node.
func (s *source) types() map[string]*ast.TypeSpec {
	found := map[string]*ast.TypeSpec{}
	for _, file := range s.files {
		for _, declaration := range file.syntax.Decls {
			genDecl, ok := declaration.(*ast.GenDecl)
			if !ok || genDecl.Tok != token.TYPE {
				continue
			}
			for _, spec := range genDecl.Specs {
				typeSpec := spec.(*ast.TypeSpec)
				if typeSpec.Doc == nil {
					typeSpec.Doc = genDecl.Doc
				}
				found[typeSpec.Name.Name] = typeSpec
			}
		}
	}
	return found
}

// stringLiteral returns the value of a string literal, and whether the
// expression is one.
func stringLiteral(e ast.Expr) (string, bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

// selectorName returns the name of the called function in a call such as
// log.Info, without its qualifier.
func selectorName(call *ast.CallExpr) string {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	return selector.Sel.Name
}

// markdownTable returns a Markdown table.
func markdownTable(heading []string, rows [][]string) string {
	var out strings.Builder
	writeRow := func(cells []string) {
		out.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	writeRow(heading)
	writeRow(slices.Repeat([]string{"---"}, len(heading)))
	for _, row := range rows {
		writeRow(row)
	}
	return out.String()
}

// tableCell formats a comment or help text as a cell of a Markdown table.
func tableCell(s string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(s), " "), "|", `\|`)
}

func inlineCode(s string) string { return "`" + s + "`" }
