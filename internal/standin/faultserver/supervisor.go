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
	// inboxCapacity is how many requests may wait for their decision.
	inboxCapacity = 1024
	// drainTimeout is how long open calls may continue after a stop request.
	drainTimeout = 5 * time.Second
)

// Config configures a Server.
type Config struct {
	Address string
	Handler http.Handler
	Backend Backend
	// RestartDelay is how long the listener stays closed after a crash.
	RestartDelay time.Duration
	// Seed makes the random choices reproducible.
	Seed uint64
}

// Server is a supervisor of two duties. The fault duty is started first and
// stopped last; after a restart it has the settings it had before. The accept
// duty comes second, so that on a stop the open calls are drained while the
// fault duty still decides on them; a fault may remove it and add it again.
type Server struct {
	tree    *supervisor.Supervisor
	inbox   *ring.Ring[message]
	address string
}

// New binds the address and returns a server that is not yet running.
func New(config Config, log *zap.Logger) (*Server, error) {
	s := &Server{inbox: ring.New[message]("standin_faults", inboxCapacity)}
	listener := &reopenableListener{address: config.Address, handler: s.withFaults(config.Handler), drainTimeout: drainTimeout, log: log}
	if err := listener.listen(); err != nil {
		return nil, err
	}
	s.address = listener.address
	faults := &faultDuty{
		inbox:        s.inbox,
		listener:     listener,
		backend:      config.Backend,
		restartDelay: config.RestartDelay,
		settings:     Settings{SlowFactor: 1},
		rng:          rand.New(rand.NewPCG(config.Seed, 1)),
		log:          log,
	}
	s.tree = supervisor.New(supervisor.Spec{Name: "front", Children: []supervisor.Child{
		{Name: "faults", Duty: faults},
		{Name: acceptName, Duty: listener.accept},
	}}, log)
	listener.tree = s.tree
	return s, nil
}

// Supervisor returns the supervisor to run.
func (s *Server) Supervisor() *supervisor.Supervisor { return s.tree }
