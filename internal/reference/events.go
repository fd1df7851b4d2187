package reference

import (
	"go/ast"
	"slices"
	"strings"
)

// excludedFolders returns the folders whose metrics and log events are left
// out, since no production process runs their code: the load tool, the
// stand-ins and this package.
func excludedFolders() []string {
	return []string{"internal/load", "internal/standin", "internal/reference"}
}

// metricTable lists the Prometheus metrics that the source defines.
func metricTable(root string) (string, error) {
	parsed, err := parseSource(root, "internal", excludedFolders()...)
	if err != nil {
		return "", err
	}
	var rows [][]string
	parsed.forEachCall(func(folder string, call *ast.CallExpr) {
		if name, kind, labels, help, ok := parseMetric(call); ok {
			rows = append(rows, []string{inlineCode(name), kind, labels, tableCell(help), inlineCode(folder)})
		}
	})
	return sortedTable([]string{"metric", "kind", "labels", "meaning", "package"}, rows), nil
}

// parseMetric reads the metric from a call such as prometheus.NewCounterVec.
func parseMetric(call *ast.CallExpr) (name, kind, labels, help string, ok bool) {
	selector, isSelector := call.Fun.(*ast.SelectorExpr)
	if !isSelector || len(call.Args) == 0 {
		return "", "", "", "", false
	}
	if qualifier, isIdent := selector.X.(*ast.Ident); !isIdent || qualifier.Name != "prometheus" {
		return "", "", "", "", false
	}
	if selector.Sel.Name == "NewDesc" && len(call.Args) > 2 {
		name, ok = stringLiteral(call.Args[0])
		help, _ = stringLiteral(call.Args[1])
		return name, "computed when read", labelList(call.Args[2]), help, ok
	}
	options, isLiteral := call.Args[0].(*ast.CompositeLit)
	kind, isNew := strings.CutPrefix(selector.Sel.Name, "New")
	if !isLiteral || !isNew {
		return "", "", "", "", false
	}
	if len(call.Args) > 1 {
		labels = labelList(call.Args[1])
	}
	kind = strings.ToLower(strings.TrimSuffix(kind, "Vec"))
	name, help = stringField(options, "Name"), stringField(options, "Help")
	return name, kind, labels, help, name != ""
}

// stringField returns the string value of a field of a composite literal.
func stringField(literal *ast.CompositeLit, field string) string {
	for _, element := range literal.Elts {
		pair, ok := element.(*ast.KeyValueExpr)
		if !ok {
			continue
		}
		if key, ok := pair.Key.(*ast.Ident); ok && key.Name == field {
			value, _ := stringLiteral(pair.Value)
			return value
		}
	}
	return ""
}

func labelList(e ast.Expr) string {
	literal, ok := e.(*ast.CompositeLit)
	if !ok {
		return ""
	}
	var labels []string
	for _, element := range literal.Elts {
		if label, ok := stringLiteral(element); ok {
			labels = append(labels, inlineCode(label))
		}
	}
	return strings.Join(labels, ", ")
}

// eventTable lists the log events of level info and above.
func eventTable(root string) (string, error) {
	parsed, err := parseSource(root, "internal", excludedFolders()...)
	if err != nil {
		return "", err
	}
	var rows [][]string
	parsed.forEachCall(func(folder string, call *ast.CallExpr) {
		level := strings.ToLower(selectorName(call))
		if !slices.Contains([]string{"info", "warn", "error"}, level) || len(call.Args) == 0 {
			return
		}
		if message, ok := stringLiteral(call.Args[0]); ok {
			rows = append(rows, []string{inlineCode(folder), level, tableCell(message)})
		}
	})
	return sortedTable([]string{"package", "level", "message"}, rows), nil
}

// sortedTable writes a table with its rows sorted and duplicates removed.
func sortedTable(heading []string, rows [][]string) string {
	slices.SortFunc(rows, slices.Compare[[]string])
	rows = slices.CompactFunc(rows, func(a, b []string) bool { return slices.Compare(a, b) == 0 })
	return markdownTable(heading, rows)
}
