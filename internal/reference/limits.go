package reference

import (
	"fmt"
	"go/ast"
	"go/token"
	"strconv"
	"strings"
)

// limits returns the constants that bound the input that a process accepts
// from other processes, by folder.
func limits() []limit {
	return []limit{
		{"internal/supervisor", []string{"headerTimeout", "idleTimeout", "maxHeaderBytes"}},
		{"internal/decision/budget", []string{"memoryShare", "minBytes", "filesPerCaller", "reservedFiles", "minConnections", "keptShare",
			"peerMemoryShare", "filesPerPeer", "MinStall", "maxStall", "bytesPerLine"}},
		{"internal/budget", []string{"connectionBytes", "restTimeout", "heapShare"}},
		{"internal/entry/callers", []string{"bodyTimeout", "answerTimeout", "endpointDialTimeout",
			"maxAnswerHeaderBytes", "maxAnswerBytes"}},
		{"internal/gateway/callers", []string{"maxBufferedBytes"}},
		{"internal/gateway/connections", []string{"maxResponseHeaderBytes", "maxIdle"}},
		{"internal/sse", []string{"MaxEventBytes"}},
		{"internal/codec", []string{"DialTimeout", "MaxMessageBytes", "maxHeaderBytes"}},
		{"internal/control", []string{"handlerTimeout", "gossipTimeout"}},
		{"internal/platform", []string{"DefaultCallTimeout", "MaxValueBytes", "maxAnswerBytes", "maxWatchBytes"}},
		{"internal/manifest", []string{"MaxTiers", "MaxSlots", "MaxJournalSlots", "MaxRouteBodyBytes"}},
	}
}

// limit names the limiting constants of one folder.
type limit struct {
	folder string
	names  []string
}

// limitTable lists the limits with their values and doc comments.
func limitTable(root string) (string, error) {
	var rows [][]string
	for _, l := range limits() {
		parsed, err := parseSource(root, l.folder)
		if err != nil {
			return "", err
		}
		constants := parsed.constants(l.folder)
		for _, name := range l.names {
			spec := constants[name]
			if spec == nil || spec.Doc.Text() == "" {
				return "", fmt.Errorf("%s: no constant %s with a doc comment", l.folder, name)
			}
			value, err := formatValue(spec.Values[0])
			if err != nil {
				return "", fmt.Errorf("%s: %s: %w", l.folder, name, err)
			}
			rows = append(rows, []string{inlineCode(l.folder), inlineCode(name), value, tableCell(spec.Doc.Text())})
		}
	}
	return markdownTable([]string{"package", "limit", "value", "meaning"}, rows), nil
}

// constants returns the declarations in a folder that declare a single
// constant, by the constant's name.
func (s *source) constants(folder string) map[string]*ast.ValueSpec {
	found := map[string]*ast.ValueSpec{}
	for _, file := range s.files {
		for _, declaration := range file.syntax.Decls {
			genDecl, ok := declaration.(*ast.GenDecl)
			if !ok || genDecl.Tok != token.CONST || file.folder != folder {
				continue
			}
			for _, spec := range genDecl.Specs {
				value := spec.(*ast.ValueSpec)
				if len(value.Names) != 1 || len(value.Values) != 1 {
					continue
				}
				if value.Doc == nil {
					value.Doc = genDecl.Doc
				}
				found[value.Names[0].Name] = value
			}
		}
	}
	return found
}

// formatValue formats a number, a size such as 4 << 20, or a duration such as
// 5 * time.Second for the table.
func formatValue(e ast.Expr) (string, error) {
	switch e := e.(type) {
	case *ast.BasicLit:
		return strings.ReplaceAll(e.Value, "_", ","), nil
	case *ast.SelectorExpr:
		return formatDuration("1", e)
	case *ast.BinaryExpr:
		count, isNumber := e.X.(*ast.BasicLit)
		if !isNumber {
			break
		}
		if unit, isUnit := e.Y.(*ast.SelectorExpr); isUnit && e.Op == token.MUL {
			return formatDuration(count.Value, unit)
		}
		if shift, isNumber := e.Y.(*ast.BasicLit); isNumber && e.Op == token.SHL {
			return formatSize(count.Value, shift.Value)
		}
	}
	return "", fmt.Errorf("unsupported value expression %T", e)
}

func formatDuration(count string, unit *ast.SelectorExpr) (string, error) {
	units := map[string]string{"Millisecond": "ms", "Second": "s", "Minute": "min", "Hour": "h"}
	name, ok := units[unit.Sel.Name]
	if !ok {
		return "", fmt.Errorf("unsupported unit of time %s", unit.Sel.Name)
	}
	return count + " " + name, nil
}

func formatSize(count, shift string) (string, error) {
	units := map[string]string{"10": "KiB", "20": "MiB", "30": "GiB"}
	unit, ok := units[shift]
	if _, err := strconv.Atoi(count); err != nil || !ok {
		return "", fmt.Errorf("unsupported size %s << %s", count, shift)
	}
	return count + " " + unit, nil
}
