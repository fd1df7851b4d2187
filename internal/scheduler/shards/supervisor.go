// Package shards supervises the pool shards of the local region and the
// manager that adds and removes them. Each child is restarted on its own, and
// the shards stop before the manager.
package shards

import (
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
	"kingcupcourse/internal/scheduler/shards/manager"
	"kingcupcourse/internal/scheduler/shards/shard"
	"kingcupcourse/internal/supervisor"
)

// New returns the supervisor; in is the manager's ring.
func New(config shard.Config, in *ring.Ring[inbox.ManagerMessage]) *supervisor.Supervisor {
	m := manager.New(config, in)
	s := supervisor.New(supervisor.Spec{
		Name:     "shards",
		Children: []supervisor.Child{{Name: "manager", Duty: m}},
	}, config.Log)
	m.SetParent(s)
	return s
}
