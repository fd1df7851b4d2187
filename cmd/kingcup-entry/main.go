// Command kingcup-entry is the process that accepts the requests of callers.
// It admits them, gets grants to dispatch them from the schedulers, and relays
// the responses.
package main

import (
	"kingcupcourse/internal/entry"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/process"
	"kingcupcourse/internal/settings"
)

func main() {
	process.Main(process.Role[settings.Entry]{
		Program:     "kingcup-entry",
		Description: "Takes the requests of callers to model engines and plain services.",
		Role:        message.RoleEntry,
		Load:        settings.Load[settings.Entry],
		Common:      func(s *settings.Entry) *settings.Common { return &s.Common },
		Build:       entry.Build,
	})
}
