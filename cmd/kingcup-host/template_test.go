package main

import (
	"encoding/json"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// placeholder matches a placeholder, and the start of a section or inverted section.
var placeholder = regexp.MustCompile(`\{\{([#^]?)([^{}|]+)(\|json)?\}\}`)

// number is a number as the platform writes it, such as 8.0.
type number = json.Number

// scope holds the values that names in a template stand for, the innermost first.
type scope []any

// entry is an entry of a table inside its section.
type entry struct {
	key, value any
	last       bool
}

// render fills in a settings template as the platform does.
func render(text string, names scope) string {
	var out strings.Builder
	for {
		at := placeholder.FindStringSubmatchIndex(text)
		if at == nil {
			return out.String() + text
		}
		out.WriteString(text[:at[0]])
		sign, name, asJSON := text[at[2]:at[3]], text[at[4]:at[5]], at[6] >= 0
		text = text[at[1]:]
		if sign == "" {
			out.WriteString(names.text(name, asJSON))
			continue
		}
		var body string
		body, text, _ = strings.Cut(text, "{{/"+name+"}}")
		out.WriteString(names.section(sign, body, names.lookup(name)))
	}
}

func (names scope) section(sign, body string, value any) string {
	isSet := value != nil && value != false
	if isSet != (sign == "#") {
		return ""
	}
	table, isTable := value.(map[string]any)
	if !isTable {
		return render(body, names)
	}
	var out strings.Builder
	keys := slices.Sorted(maps.Keys(table))
	for i, key := range keys {
		out.WriteString(render(body, append(scope{entry{key, table[key], i == len(keys)-1}}, names...)))
	}
	return out.String()
}

func (names scope) text(name string, asJSON bool) string {
	value := names.lookup(name)
	if text, ok := value.(string); ok && !asJSON {
		return text
	}
	if value == nil && !asJSON {
		return ""
	}
	encoded, _ := json.Marshal(value)
	return string(encoded)
}

func (names scope) lookup(name string) any {
	if e, ok := names[0].(entry); ok {
		switch {
		case name == ".":
			return e.value
		case name == "@":
			return e.key
		case name == "," && e.last:
			return nil
		case name == ",":
			return ","
		}
	}
	value := names[len(names)-1]
	for part := range strings.SplitSeq(name, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []any:
			i, _ := strconv.Atoi(part)
			value = v[i]
		default:
			return nil
		}
	}
	return value
}
