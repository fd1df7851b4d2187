package platform

import "bytes"

// maxDepth is how deeply the objects of the store may be nested. Decoding fails on the
// whole response if one object exceeds the limit of encoding/json.
const maxDepth = 200

// limitDepth replaces each value that is nested too deeply by null.
func limitDepth(body []byte) []byte {
	if !isTooDeep(body) {
		return body
	}
	limited := make([]byte, 0, len(body))
	scan := depthScanner{}
	for _, b := range body {
		before := scan.depth
		scan.next(b)
		switch {
		case before <= maxDepth && scan.depth <= maxDepth:
			limited = append(limited, b)
		case before == maxDepth: // opens the value that is too deep
			limited = append(limited, "null"...)
		}
	}
	return limited
}

// isTooDeep reports whether a value is nested too deeply.
func isTooDeep(body []byte) bool {
	if bytes.Count(body, []byte("["))+bytes.Count(body, []byte("{")) <= maxDepth {
		return false
	}
	scan := depthScanner{}
	for _, b := range body {
		if scan.next(b); scan.depth > maxDepth {
			return true
		}
	}
	return false
}

// depthScanner follows the nesting of a JSON text.
type depthScanner struct {
	depth             int
	inString, escaped bool
}

func (s *depthScanner) next(b byte) {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped = b == '\\'
		s.inString = b != '"'
	case b == '"':
		s.inString = true
	case b == '[' || b == '{':
		s.depth++
	case b == ']' || b == '}':
		s.depth--
	}
}
