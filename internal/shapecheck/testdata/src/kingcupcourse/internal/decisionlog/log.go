// Package decisionlog has a name that begins like that of the decision folder
// but is not below it.
package decisionlog

import "encoding/json"

var Marshal = json.Marshal
