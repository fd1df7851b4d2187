package ctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

// querierCount is how many processes are asked at the same time.
const querierCount = 8

// errCommandPanicked means that the command's duty panicked.
var errCommandPanicked = errors.New("the command crashed")

// runCommand runs the chosen command as a duty beside the queriers, which start first and stop last. A command that crashed is not
// run again; a querier that crashed is.
func runCommand(env *environment, chosen *kong.Context) error {
	ctx, stop := context.WithCancel(context.WithoutCancel(env.ctx))
	defer stop()
	env.queriers = newQueriers(codec.NewTransport(queryTimeout))
	c := &command{env: env, chosen: chosen, stop: stop, result: ring.NewReply[error]()}
	var children []supervisor.Child
	for i := range querierCount {
		children = append(children, supervisor.Child{Name: fmt.Sprintf("query-%d", i), Duty: env.queriers.newDuty()})
	}
	children = append(children, supervisor.Child{Name: "command", Duty: c})
	tree := supervisor.New(supervisor.Spec{Name: program, Children: children}, zap.NewNop())
	_ = tree.Serve(ctx)               // ends when the command has ended
	c.result.Send(errCommandPanicked) // counts only if the command has not answered
	err, _ := c.result.Wait(context.Background())
	return err
}

// command is the duty that runs the chosen command once.
type command struct {
	env     *environment
	chosen  *kong.Context
	stop    context.CancelFunc
	result  ring.Reply[error]
	started bool
}

// Serve implements supervisor.Duty.
func (c *command) Serve(context.Context) error {
	defer c.stop()
	if c.started {
		c.result.Send(errCommandPanicked)
		return supervisor.ErrDone
	}
	c.started = true
	c.result.Send(c.chosen.Run(c.env))
	return supervisor.ErrDone
}
