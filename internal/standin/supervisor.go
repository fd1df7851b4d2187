// Package standin runs stand-ins for the systems that kingcupcourse meets:
// a platform, model engines, plain services and spoiled connections.
package standin

import (
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcourse/internal/standin/engine"
	"kingcupcourse/internal/standin/faultproxy"
	"kingcupcourse/internal/standin/ledger"
	"kingcupcourse/internal/standin/platform"
	"kingcupcourse/internal/supervisor"
)

// adminDrainTimeout is how long open admin calls may go on after a stop was asked.
const adminDrainTimeout = time.Second

// Process is the root of a stand-in process. Its children are the
// supervisors of the stand-ins in the order platform, engines, ledgers,
// proxies, and last the admin listener. They stop together, since each is a
// system of its own; within each the order of stopping is kept.
type Process struct {
	tree     *supervisor.Supervisor
	admin    *supervisor.HTTP
	standIns []standIn
}

// New binds all addresses and returns a process that is not yet running.
func New(fleet Fleet, log *zap.Logger) (*Process, error) {
	members, err := newStandIns(fleet, log)
	if err != nil {
		return nil, err
	}
	if err = validateNames(members); err != nil {
		return nil, err
	}
	admin, err := supervisor.Listen(fleet.AdminAddress, adminHandler(members), adminDrainTimeout)
	if err != nil {
		return nil, eris.Wrap(err, "admin listener")
	}
	var children []supervisor.Child
	for _, s := range members {
		children = append(children, supervisor.Child{Name: s.Name(), Duty: s.Supervisor()})
	}
	children = append(children, supervisor.Child{Name: "admin listener", Duty: admin})
	tree := supervisor.New(supervisor.Spec{Name: "standin", Children: children, StopTogether: true}, log)
	return &Process{tree: tree, admin: admin, standIns: members}, nil
}

// Supervisor returns the tree to run.
func (p *Process) Supervisor() *supervisor.Supervisor { return p.tree }

// AdminAddress returns the bound address of the fault controls.
func (p *Process) AdminAddress() string { return p.admin.Address() }

// Address returns the bound address of a stand-in, empty for an unknown
// name.
func (p *Process) Address(name string) string {
	for _, s := range p.standIns {
		if s.Name() == name {
			return s.Address()
		}
	}
	return ""
}

func newStandIns(fleet Fleet, log *zap.Logger) ([]standIn, error) {
	var members []standIn
	if fleet.Platform != nil {
		s, err := platform.New(*fleet.Platform, log)
		if err != nil {
			return nil, eris.Wrapf(err, "platform %s", fleet.Platform.Name)
		}
		members = append(members, s)
	}
	for _, config := range fleet.Engines {
		s, err := engine.New(config, log)
		if err != nil {
			return nil, eris.Wrapf(err, "engine %s", config.Name)
		}
		members = append(members, s)
	}
	for _, config := range fleet.Ledgers {
		s, err := ledger.New(config, log)
		if err != nil {
			return nil, eris.Wrapf(err, "ledger %s", config.Name)
		}
		members = append(members, s)
	}
	for _, config := range fleet.Proxies {
		s, err := faultproxy.New(config, log)
		if err != nil {
			return nil, eris.Wrapf(err, "proxy %s", config.Name)
		}
		members = append(members, s)
	}
	return members, nil
}

func validateNames(members []standIn) error {
	known := map[string]bool{}
	for _, s := range members {
		if s.Name() == "" || known[s.Name()] {
			return eris.Errorf("each stand-in needs a name of its own, %q is none", s.Name())
		}
		known[s.Name()] = true
	}
	return nil
}
