package unbuilt // want `supervisor.go does not call supervisor.New`

import "kingcupcourse/internal/supervisor"

var _ supervisor.Supervisor

// New is not the supervisor's.
func New() {}

func build() { New() }
