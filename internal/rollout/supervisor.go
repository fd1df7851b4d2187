// Package rollout supervises the duties that execute planned version moves. Any
// host may hold a move: its state is stored only in the platform's objects, so
// that another host can continue after the holder has died or was paused.
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

// callTimeout limits how long an endpoint or scheduler may take to send the
// headers of its response.
const callTimeout = time.Second

// Build returns the duties of kingcup-rollout. A child that fails is restarted
// on its own; a restart storm is passed on to the root supervisor. On stop each
// mover releases its lease.
func Build(env *process.Environment, s *settings.Rollout) (process.Duties, error) {
	config := mover.Config{
		Host:          s.Host,
		LeaseDuration: s.LeaseMS.Duration(),
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
