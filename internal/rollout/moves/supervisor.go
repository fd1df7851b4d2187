// Package moves is the supervisor of one mover for each planned move and of
// the manager that adds and removes them. It restarts each alone and stops
// the movers before the manager.
package moves

import (
	"kingcupcourse/internal/control"
	"kingcupcourse/internal/rollout/moves/manager"
	"kingcupcourse/internal/rollout/moves/mover"
	"kingcupcourse/internal/supervisor"
)

// New returns the supervisor.
func New(config mover.Config, views control.Subscription) *supervisor.Supervisor {
	m := manager.New(config, views)
	s := supervisor.New(supervisor.Spec{
		Name:     "moves",
		Children: []supervisor.Child{{Name: "manager", Duty: m}},
	}, config.Log)
	m.SetParent(s)
	return s
}
