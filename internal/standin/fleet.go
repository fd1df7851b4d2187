package standin

import (
	"bytes"
	"encoding/json"
	"os"

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

// ReadFleet reads a fleet from a JSON file. Unknown fields are errors.
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
	return fleet, nil
}
