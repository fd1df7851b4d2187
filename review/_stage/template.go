package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strings"
)

// render fills in the settings template of the deploy file as the platform's page on
// deployment says: placeholders, sections and their negation.
func render(text string, scope ...any) string {
	var out strings.Builder
	for {
		at := tag.FindStringSubmatchIndex(text)
		if at == nil {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:at[0]])
		sign, name, rest := text[at[2]:at[3]], strings.TrimSpace(text[at[4]:at[5]]), text[at[1]:]
		if sign == "" {
			out.WriteString(placeholder(name, scope))
			text = rest
			continue
		}
		body, after, _ := strings.Cut(rest, "{{/"+name+"}}")
		out.WriteString(section(sign, body, lookup(name, scope), scope))
		text = after
	}
}

var tag = regexp.MustCompile(`\{\{([#^]?)([^{}]+)\}\}`)

// item is an entry inside a section.
type item struct {
	value, key any
	last       bool
}

func section(sign, body string, value any, scope []any) string {
	isSet := value != nil && value != false
	switch entries, isTable := value.(map[string]any); {
	case sign == "^" && isSet, sign == "#" && !isSet:
		return ""
	case sign == "#" && isTable:
		var keys []string
		for key := range entries {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		var out strings.Builder
		for i, key := range keys {
			out.WriteString(render(body, append([]any{item{entries[key], key, i == len(keys)-1}}, scope...)...))
		}
		return out.String()
	}
	return render(body, scope...)
}

func placeholder(name string, scope []any) string {
	name, asJSON := strings.CutSuffix(name, "|json")
	if name == "," {
		if current, ok := scope[0].(item); ok && current.last {
			return ""
		}
		return ","
	}
	value := lookup(name, scope)
	text, isText := value.(string)
	switch {
	case value == nil && !asJSON:
		return ""
	case isText && !asJSON:
		return text
	}
	encoded, _ := json.Marshal(value)
	return string(encoded)
}

// lookup returns the value of a name in the innermost scope that has it.
func lookup(name string, scope []any) any {
	if current, ok := scope[0].(item); ok && name == "." {
		return current.value
	} else if ok && name == "@" {
		return current.key
	}
	for _, s := range scope {
		value := s
		if current, ok := s.(item); ok {
			value = current.value
		}
		for _, part := range strings.Split(name, ".") {
			value = child(value, part)
		}
		if value != nil {
			return value
		}
	}
	return nil
}

func child(value any, part string) any {
	switch v := value.(type) {
	case map[string]any:
		return v[part]
	case []any:
		var n int
		if _, err := fmt.Sscan(part, &n); err == nil && n < len(v) {
			return v[n]
		}
	}
	return nil
}
