package strictjson

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// checker checks a node tree against a Go type.
type checker struct{ document *Document }

// structField is one field of a struct type in its JSON form.
type structField struct {
	typ      reflect.Type
	required bool
}

func targetType(target any) reflect.Type { return reflect.TypeOf(target).Elem() }

func (c checker) check(n *node, typ reflect.Type, path string) {
	c.document.offsets[path] = n.offset
	switch {
	case typ == reflect.TypeFor[json.RawMessage]():
	case typ.Kind() == reflect.Pointer:
		c.check(n, typ.Elem(), path)
	case typ.Kind() == reflect.Struct:
		c.checkObject(n, typ, path)
	case typ.Kind() == reflect.Slice:
		c.checkArray(n, typ, path)
	default:
		c.checkScalar(n, typ, path)
	}
}

func (c checker) checkObject(n *node, typ reflect.Type, path string) {
	if !n.object {
		c.addTypeError(n, "an object", path)
		return
	}
	known := structFields(typ)
	seen := map[string]bool{}
	for _, f := range n.fields {
		expected, ok := known[f.name]
		switch {
		case !ok:
			c.document.addDecodeError(f.offset, Field(path, f.name), "unknown field%s", suggestion(f.name, known))
		case seen[f.name]:
			c.document.addDecodeError(f.offset, Field(path, f.name), "given twice")
		default:
			c.check(f.value, expected.typ, Field(path, f.name))
		}
		seen[f.name] = true
	}
	c.checkRequired(n, known, seen, path)
}

func (c checker) checkRequired(n *node, known map[string]structField, seen map[string]bool, path string) {
	var missing []string
	for name, expected := range known {
		if expected.required && !seen[name] {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	for _, name := range missing {
		c.document.addDecodeError(n.offset, Field(path, name), "missing")
	}
}

func (c checker) checkArray(n *node, typ reflect.Type, path string) {
	if !n.array {
		c.addTypeError(n, "an array", path)
		return
	}
	for i, item := range n.items {
		c.check(item, typ.Elem(), Item(path, i))
	}
}

func (c checker) checkScalar(n *node, typ reflect.Type, path string) {
	if n.object || n.array || !decodesInto(n.value, typ) {
		c.addTypeError(n, typeDescription(typ), path)
	}
}

func (c checker) addTypeError(n *node, want, path string) {
	c.document.addDecodeError(n.offset, path, "must be %s", want)
}

// decodesInto reports whether a scalar decodes into the type without loss.
func decodesInto(value json.Token, typ reflect.Type) bool {
	text, err := json.Marshal(value)
	if err != nil || value == nil {
		return false
	}
	return json.Unmarshal(text, reflect.New(typ).Interface()) == nil
}

func typeDescription(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// structFields returns the JSON fields of a struct type by name, including those
// of embedded structs.
func structFields(typ reflect.Type) map[string]structField {
	known := map[string]structField{}
	for i := range typ.NumField() {
		f := typ.Field(i)
		if f.Anonymous {
			for name, embedded := range structFields(f.Type) {
				known[name] = embedded
			}
			continue
		}
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "-" {
			continue
		}
		known[name] = structField{f.Type, options == ""}
	}
	return known
}

// suggestion returns a hint at a known field whose name differs only in case or
// separators, empty if there is none.
func suggestion(name string, known map[string]structField) string {
	normalize := func(s string) string {
		return strings.NewReplacer("_", "", "-", "").Replace(strings.ToLower(s))
	}
	for candidate := range known {
		if normalize(candidate) == normalize(name) {
			return "; did you mean " + candidate + "?"
		}
	}
	return ""
}
