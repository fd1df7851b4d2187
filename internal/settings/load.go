package settings

import (
	"os"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/findings"
	"kingcupcourse/internal/strictjson"
)

// roleSettings is a settings type with its defaults and checks.
type roleSettings interface {
	setDefaults()
	check(report *strictjson.Document)
}

// Load reads the settings of a role from a JSON file, such as Load[Entry], sets
// the defaults and checks the result. If the file is readable but invalid, the
// error is a findings.List of all problems, each with its file, line, column
// and path.
func Load[T any, P interface {
	*T
	roleSettings
}](path string) (*T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	loaded, list := Parse[T, P](text)
	if len(list) > 0 {
		return nil, list.InFile(path)
	}
	return loaded, nil
}

// Parse is like Load for settings in memory.
func Parse[T any, P interface {
	*T
	roleSettings
}](text []byte) (*T, findings.List) {
	loaded := new(T)
	report := strictjson.Decode(text, loaded)
	P(loaded).setDefaults()
	P(loaded).check(report)
	if list := report.Findings(); len(list) > 0 {
		return nil, list
	}
	return loaded, nil
}
