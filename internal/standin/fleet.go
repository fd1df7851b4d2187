package standin

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/standin/engine"
	"kingcupcourse/internal/standin/faultproxy"
	"kingcupcourse/internal/standin/ledger"
	"kingcupcourse/internal/standin/platform"
)

// Fleet configures the stand-ins of one process.
type Fleet struct {
	// AdminAddress is the host and port of the admin API.
	AdminAddress string              `json:"admin_address"`
	Platform     *platform.Config    `json:"platform"`
	Engines      []engine.Config     `json:"engines"`
	Ledgers      []ledger.Config     `json:"ledgers"`
	Proxies      []faultproxy.Config `json:"proxies"`
}

// ReadFleet reads a fleet from a JSON file. Unknown fields are errors. The paths
// of object files are relative to the directory of that file.
func ReadFleet(file string) (Fleet, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Fleet{}, eris.Wrap(err, "reading the fleet file")
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	var fleet Fleet
	if err := decoder.Decode(&fleet); err != nil {
		return Fleet{}, eris.Wrapf(err, "decoding the fleet file %s", file)
	}
	if decoder.More() {
		return Fleet{}, eris.Errorf("decoding the fleet file %s: more than one JSON value", file)
	}
	fleet.resolveObjectFiles(filepath.Dir(file))
	return fleet, nil
}

// resolveObjectFiles resolves the paths of object files against directory.
func (f *Fleet) resolveObjectFiles(directory string) {
	if f.Platform == nil {
		return
	}
	for i, o := range f.Platform.Objects {
		if o.File != "" && !filepath.IsAbs(o.File) {
			f.Platform.Objects[i].File = filepath.Join(directory, o.File)
		}
	}
}
