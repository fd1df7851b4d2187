// Package moves supervises one mover for each planned move and the manager that
// adds them. Each child is restarted on its own, and the movers stop before the
// manager.
package moves

import (
	"kingcupcourse/internal/control"
	"kingcupcourse/internal/rollout/moves/manager"
	"kingcupcourse/internal/rollout/moves/mover"
	"kingcupcourse/internal/supervisor"
)

// New returns the supervisor. The manager takes its views from the
// subscription.
func New(config mover.Config, views control.Subscription) *supervisor.Supervisor {
	m := manager.New(config, views)
	s := supervisor.New(supervisor.Spec{
		Name:     "moves",
		Children: []supervisor.Child{{Name: "manager", Duty: m}},
	}, config.Log)
	m.SetParent(s)
	return s
}
