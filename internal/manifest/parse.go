package manifest

import (
	"kingcupcourse/internal/findings"
	"kingcupcourse/internal/strictjson"
)

// Parse decodes a manifest, fills in the defaults and checks it whole. If
// there are findings, each with line, column and path, there is no manifest.
func Parse(text []byte) (*Manifest, findings.List) {
	m := new(Manifest)
	report := strictjson.Decode(text, m)
	m.setDefaults()
	newChecker(m, report).run()
	if list := report.Findings(); len(list) > 0 {
		return nil, list
	}
	m.buildIndex()
	return m, nil
}
