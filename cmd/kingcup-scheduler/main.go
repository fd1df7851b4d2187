// Command kingcup-scheduler is the process that owns the queues of the pool
// shards. It decides which requests run, when, and on which endpoint, and
// records run-once requests in the journals of the pools.
package main

import (
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/process"
	"kingcupcourse/internal/scheduler"
	"kingcupcourse/internal/settings"
)

func main() {
	process.Main(process.Role[settings.Scheduler]{
		Program:     "kingcup-scheduler",
		Description: "Schedules the requests of pool shards onto endpoints.",
		Role:        message.RoleScheduler,
		Load:        settings.Load[settings.Scheduler],
		Common:      func(s *settings.Scheduler) *settings.Common { return &s.Common },
		Build:       scheduler.Build,
	})
}
