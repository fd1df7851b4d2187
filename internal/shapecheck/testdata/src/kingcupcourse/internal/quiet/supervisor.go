package quiet

import "kingcupcourse/internal/supervisor"

func build() *supervisor.Supervisor { return supervisor.New() }
