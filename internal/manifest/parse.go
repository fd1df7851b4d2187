package manifest

import (
	"kingcupcourse/internal/findings"
	"kingcupcourse/internal/strictjson"
)

// Parse decodes a manifest, sets the defaults and validates it completely. It
// returns either a manifest or findings, each with line, column and path.
func Parse(text []byte) (*Manifest, findings.List) {
	m := new(Manifest)
	document := strictjson.Decode(text, m)
	m.setDefaults()
	newChecker(m, document).run()
	if list := document.Findings(); len(list) > 0 {
		return nil, list
	}
	m.buildIndex()
	return m, nil
}
