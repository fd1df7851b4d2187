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

// Fleet lists the stand-ins of one process.
type Fleet struct {
	// AdminAddress is the host and port of the fault controls.
	AdminAddress string              `json:"admin_address"`
	Platform     *platform.Config    `json:"platform"`
	Engines      []engine.Config     `json:"engines"`
	Ledgers      []ledger.Config     `json:"ledgers"`
	Proxies      []faultproxy.Config `json:"proxies"`
}

// ReadFleet reads a fleet from a JSON file. Unknown fields are errors. Object
// files are named relative to the fleet's file.
func ReadFleet(file string) (Fleet, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Fleet{}, eris.Wrap(err, "reading the fleet")
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	var fleet Fleet
	if err := decoder.Decode(&fleet); err != nil {
		return Fleet{}, eris.Wrapf(err, "reading the fleet %s", file)
	}
	if decoder.More() {
		return Fleet{}, eris.Errorf("reading the fleet %s: more than one JSON value", file)
	}
	fleet.resolveObjectFiles(filepath.Dir(file))
	return fleet, nil
}

// resolveObjectFiles makes the object files relative to the directory of the fleet.
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
