// Package rollout is the supervisor of the duties that carry out planned
// version moves. It is a first part only: it follows the moves of the
// manifest and logs their stages; it gives no orders and moves no traffic.
package rollout

import (
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/process"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

// Build lists the children of the rollout supervisor. A child that fails is
// restarted alone; a restart storm is passed on to the root. There is nothing
// to drain.
func Build(env *process.Environment, _ *settings.Rollout) (process.Duties, error) {
	moves := &moves{
		views:  env.Control.Subscribe(),
		log:    env.Log,
		stages: map[string]message.Stage{},
	}
	tree := supervisor.New(supervisor.Spec{Name: "rollout", Children: []supervisor.Child{
		{Name: "moves", Duty: moves},
	}}, env.Log)
	return process.Duties{Front: []supervisor.Child{{Name: "rollout", Duty: tree}}}, nil
}
