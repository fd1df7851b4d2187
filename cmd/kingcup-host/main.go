// Command kingcup-host runs all of kingcupcourse in one process on a machine
// of the users' platform. It accepts the requests of callers and forwards them
// to endpoints.
package main

import (
	"kingcupcourse/internal/budget"
	"kingcupcourse/internal/gateway"
	"kingcupcourse/internal/process"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
	"kingcupcourse/platform"
)

func main() { process.MainProgram(program()) }

func program() process.Program[settings.Gateway] {
	return process.Program[settings.Gateway]{
		Name:        "kingcup-host",
		Description: "Takes the requests of callers on a host of the platform.",
		Load:        settings.Load[settings.Gateway],
		Log:         func(s *settings.Gateway) process.LogConfig { return process.LogConfig{Host: s.Host, Log: s.Log} },
		Shutdown: func(s *settings.Gateway) process.ShutdownConfig {
			return process.ShutdownConfig{DrainDelay: s.DrainDelayMS.Duration()}
		},
		Build: func(env process.ProgramEnvironment, s *settings.Gateway) ([]supervisor.Child, error) {
			budget.LimitHeap(s.MemoryMB.Bytes())
			return gateway.Build(platform.Adapter(), env, s)
		},
	}
}
