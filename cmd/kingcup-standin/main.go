// Command kingcup-standin runs stand-ins for the systems that kingcupcourse
// communicates with, for tests and experiments.
package main

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcourse/internal/standin"
	"kingcupcourse/internal/standin/engine"
	"kingcupcourse/internal/standin/faultproxy"
	"kingcupcourse/internal/standin/ledger"
	"kingcupcourse/internal/standin/platform"
)

// commands defines the command line.
type commands struct {
	AdminAddress string `help:"Host and port of the fault controls." default:"127.0.0.1:20999"`

	Platform platformCommand `cmd:"" help:"Run a platform object API."`
	Engine   engineCommand   `cmd:"" help:"Run a model engine."`
	Ledger   ledgerCommand   `cmd:"" help:"Run a plain service."`
	Proxy    proxyCommand    `cmd:"" help:"Run a fault proxy."`
	Fleet    fleetCommand    `cmd:"" help:"Run all stand-ins that a file lists."`
}

type platformCommand struct {
	platform.Config
	Object map[string]string `help:"Object to start with, as key=file."`
}

type engineCommand struct{ engine.Config }

type ledgerCommand struct{ ledger.Config }

type proxyCommand struct{ faultproxy.Config }

type fleetCommand struct {
	File string `help:"JSON file that lists the stand-ins." required:"" type:"existingfile"`
}

func (c *platformCommand) Run(all *commands) error {
	for key, file := range c.Object {
		c.Objects = append(c.Objects, platform.Object{Key: key, File: file})
	}
	return run(standin.Fleet{AdminAddress: all.AdminAddress, Platform: &c.Config})
}

func (c *engineCommand) Run(all *commands) error {
	return run(standin.Fleet{AdminAddress: all.AdminAddress, Engines: []engine.Config{c.Config}})
}

func (c *ledgerCommand) Run(all *commands) error {
	return run(standin.Fleet{AdminAddress: all.AdminAddress, Ledgers: []ledger.Config{c.Config}})
}

func (c *proxyCommand) Run(all *commands) error {
	return run(standin.Fleet{AdminAddress: all.AdminAddress, Proxies: []faultproxy.Config{c.Config}})
}

func (c *fleetCommand) Run(all *commands) error {
	fleet, err := standin.ReadFleet(c.File)
	if err != nil {
		return err
	}
	if fleet.AdminAddress == "" {
		fleet.AdminAddress = all.AdminAddress
	}
	return run(fleet)
}

// run serves the fleet until the process gets SIGTERM or SIGINT.
func run(fleet standin.Fleet) error {
	log, err := zap.NewProduction()
	if err != nil {
		return eris.Wrap(err, "create logger")
	}
	process, err := standin.New(fleet, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fmt.Println("ready, admin on", process.AdminAddress())
	err = process.Supervisor().Serve(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func main() {
	var all commands
	parsed := kong.Parse(&all, kong.Description("Stand-ins for the systems that kingcupcourse meets."))
	parsed.FatalIfErrorf(parsed.Run(&all))
}
