package reference

import (
	"fmt"
	"go/ast"
	"reflect"
	"strconv"
	"strings"
)

// fieldTables writes a table for each of the named struct types of a folder,
// generated from the json tags and doc comments of their fields.
func fieldTables(root, folder string, names ...string) (string, error) {
	parsed, err := parseSource(root, folder)
	if err != nil {
		return "", err
	}
	core, err := parseSource(root, "internal/core")
	if err != nil {
		return "", err
	}
	writer := &fieldWriter{types: parsed.types(), coreTypes: core.types()}
	var out strings.Builder
	for i, name := range names {
		section, err := writer.typeSection(name)
		if err != nil {
			return "", err
		}
		if i > 0 {
			out.WriteString("\n")
		}
		out.WriteString(section)
	}
	return out.String(), nil
}

// fieldWriter writes the tables of one folder's types.
type fieldWriter struct {
	types     map[string]*ast.TypeSpec
	coreTypes map[string]*ast.TypeSpec
}

func (w *fieldWriter) typeSection(name string) (string, error) {
	spec := w.types[name]
	if spec == nil {
		return "", fmt.Errorf("type %s not found", name)
	}
	structType, ok := spec.Type.(*ast.StructType)
	if !ok {
		return "", fmt.Errorf("type %s is not a struct", name)
	}
	var rows [][]string
	for _, field := range structType.Fields.List {
		row, err := w.row(field)
		if err != nil {
			return "", fmt.Errorf("%s: %w", name, err)
		}
		if row != nil {
			rows = append(rows, row)
		}
	}
	return fmt.Sprintf("### %s\n\n%s\n\n%s", name, tableCell(spec.Doc.Text()),
		markdownTable([]string{"field", "type", "required", "meaning"}, rows)), nil
}

// row returns the table row of one field. It returns nil for a field without
// a tag: such a field is not part of the JSON form, or is an embedded struct,
// which has its own table.
func (w *fieldWriter) row(field *ast.Field) ([]string, error) {
	if field.Tag == nil {
		return nil, nil
	}
	tag, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		return nil, err
	}
	name, options, _ := strings.Cut(reflect.StructTag(tag).Get("json"), ",")
	meaning := tableCell(field.Doc.Text())
	if meaning == "" {
		return nil, fmt.Errorf("the field %s has no comment", name)
	}
	kind, err := w.jsonType(field.Type)
	if err != nil {
		return nil, fmt.Errorf("the field %s: %w", name, err)
	}
	required := "yes"
	if strings.Contains(options, "omit") {
		required = ""
	}
	return []string{inlineCode(name), kind, required, meaning}, nil
}

// jsonType returns the JSON type of a field.
func (w *fieldWriter) jsonType(e ast.Expr) (string, error) {
	switch e := e.(type) {
	case *ast.ArrayType:
		element, err := w.jsonType(e.Elt)
		return "list of " + element, err
	case *ast.SelectorExpr:
		if spec := w.coreTypes[e.Sel.Name]; spec != nil {
			return w.jsonType(spec.Type)
		}
	case *ast.Ident:
		return w.namedType(e.Name)
	}
	return "", fmt.Errorf("unsupported type expression %T", e)
}

func (w *fieldWriter) namedType(name string) (string, error) {
	switch name {
	case "string":
		return "string", nil
	case "bool":
		return "true or false", nil
	case "int", "int64":
		return "integer", nil
	case "float64":
		return "number", nil
	}
	spec := w.types[name]
	if spec == nil {
		return "", fmt.Errorf("unsupported type %s", name)
	}
	if _, isStruct := spec.Type.(*ast.StructType); !isStruct {
		return w.jsonType(spec.Type)
	}
	return fmt.Sprintf("[%s](#%s)", name, strings.ToLower(name)), nil
}
