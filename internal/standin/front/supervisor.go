package front

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
	// drainGrace is how long open calls may go on after a stop was asked.
	drainGrace = 5 * time.Second
)

// Config tells how a front is made.
type Config struct {
	Address string
	Handler http.Handler
	Owner   Owner
	// Restart is how long the door is closed after a crash.
	Restart time.Duration
	// Seed fixes the random choices.
	Seed uint64
}

// Front is a supervisor of two duties. The fault duty is started first and
// stopped last; it starts again with the settings it had. The accept duty
// comes after it, so that a stop first drains the open calls while the
// fault duty still answers them; a fault may remove it and add it again.
type Front struct {
	tree    *supervisor.Supervisor
	inbox   *ring.Ring[message]
	address string
}

// New binds the address and returns a front that is not yet running.
func New(config Config, log *zap.Logger) (*Front, error) {
	f := &Front{inbox: ring.New[message]("standin_faults", inboxCapacity)}
	d := &door{address: config.Address, handler: f.guard(config.Handler), grace: drainGrace, log: log}
	if err := d.listen(); err != nil {
		return nil, err
	}
	f.address = d.address
	rules := &faults{
		inbox:    f.inbox,
		door:     d,
		owner:    config.Owner,
		restart:  config.Restart,
		settings: Settings{SlowFactor: 1},
		random:   rand.New(rand.NewPCG(config.Seed, 1)),
		log:      log,
	}
	f.tree = supervisor.New(supervisor.Spec{Name: "front", Children: []supervisor.Child{
		{Name: "faults", Duty: rules},
		{Name: acceptName, Duty: d.accept},
	}}, log)
	d.tree = f.tree
	return f, nil
}

// Supervisor returns the tree to run.
func (f *Front) Supervisor() *supervisor.Supervisor { return f.tree }
