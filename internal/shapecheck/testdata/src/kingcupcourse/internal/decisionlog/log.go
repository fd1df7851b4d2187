// Package decisionlog only begins with the name of the decision folder.
package decisionlog

import "encoding/json"

var Marshal = json.Marshal
