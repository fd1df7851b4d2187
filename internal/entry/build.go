package entry

import (
	"kingcupcourse/internal/process"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

// Build returns the duties of the entry process. They stop first, so that the
// control duties and the control listener serve until the last request has
// ended.
func Build(env *process.Environment, s *settings.Entry) (process.Duties, error) {
	entry, err := New(*s, env.Control, env.Log)
	if err != nil {
		return process.Duties{}, err
	}
	env.Metrics.MustRegister(Collectors()...)
	child := supervisor.Child{Name: "entry", Duty: entry.Supervisor, StopTimeout: StopTimeout(*s)}
	return process.Duties{AfterListener: []supervisor.Child{child}}, nil
}
