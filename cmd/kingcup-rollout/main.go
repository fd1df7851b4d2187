// Command kingcup-rollout is the process that performs the planned version
// moves of the manifest.
package main

import (
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/process"
	"kingcupcourse/internal/rollout"
	"kingcupcourse/internal/settings"
)

func main() {
	process.Main(process.Role[settings.Rollout]{
		Program:     "kingcup-rollout",
		Description: "Carries out the planned version moves of the manifest.",
		Role:        message.RoleRollout,
		Load:        settings.Load[settings.Rollout],
		Common:      func(s *settings.Rollout) *settings.Common { return &s.Common },
		Build:       rollout.Build,
	})
}
