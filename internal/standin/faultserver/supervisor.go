package faultserver

import (
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// inboxCapacity is how many requests may wait for their verdict.
	inboxCapacity = 1024
	// drainTimeout is how long open calls may go on after a stop was asked.
	drainTimeout = 5 * time.Second
)

// Config tells how a front is made.
type Config struct {
	Address string
	Handler http.Handler
	Backend Backend
	// RestartDelay is how long the door is closed after a crash.
	RestartDelay time.Duration
	// Seed fixes the random choices.
	Seed uint64
}

// Server is a supervisor of two duties. The fault duty is started first and
// stopped last; it starts again with the settings it had. The accept duty
// comes after it, so that a stop first drains the open calls while the
// fault duty still answers them; a fault may remove it and add it again.
type Server struct {
	tree    *supervisor.Supervisor
	inbox   *ring.Ring[message]
	address string
}

// New binds the address and returns a front that is not yet running.
func New(config Config, log *zap.Logger) (*Server, error) {
	f := &Server{inbox: ring.New[message]("standin_faults", inboxCapacity)}
	d := &reopenableListener{address: config.Address, handler: f.withFaults(config.Handler), drainTimeout: drainTimeout, log: log}
	if err := d.listen(); err != nil {
		return nil, err
	}
	f.address = d.address
	rules := &faultDuty{
		inbox:        f.inbox,
		listener:     d,
		backend:      config.Backend,
		restartDelay: config.RestartDelay,
		settings:     Settings{SlowFactor: 1},
		random:       rand.New(rand.NewPCG(config.Seed, 1)),
		log:          log,
	}
	f.tree = supervisor.New(supervisor.Spec{Name: "front", Children: []supervisor.Child{
		{Name: "faults", Duty: rules},
		{Name: acceptName, Duty: d.accept},
	}}, log)
	d.tree = f.tree
	return f, nil
}

// Supervisor returns the tree to run.
func (f *Server) Supervisor() *supervisor.Supervisor { return f.tree }
