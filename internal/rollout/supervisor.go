// Package rollout is the supervisor of the duties that carry out planned
// version moves. Any host may hold a move: what is known of it lasts in the
// platform's objects alone, so that another host goes on where a holder died
// or was paused.
package rollout

import (
	"net/http"
	"time"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/process"
	"kingcupcourse/internal/rollout/moves"
	"kingcupcourse/internal/rollout/moves/mover"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

// callTimeout bounds how long an endpoint or scheduler may take to answer.
const callTimeout = time.Second

// Build lists the children of the rollout supervisor. A child that fails is
// restarted alone; a restart storm is passed on to the root. On stop each
// mover gives its lease back.
func Build(env *process.Environment, s *settings.Rollout) (process.Duties, error) {
	config := mover.Config{
		Host:          s.Host,
		LeaseDuration: time.Duration(s.LeaseMS) * time.Millisecond,
		Platform:      env.Platform,
		Client:        &http.Client{Transport: codec.NewTransport(callTimeout)},
		PublishFact:   env.Control.Report,
		Log:           env.Log,
	}
	tree := supervisor.New(supervisor.Spec{Name: "rollout", Children: []supervisor.Child{
		{Name: "moves", Duty: moves.New(config, env.Control.Subscribe())},
	}}, env.Log)
	return process.Duties{AfterListener: []supervisor.Child{{Name: "rollout", Duty: tree}}}, nil
}
