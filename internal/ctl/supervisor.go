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

// querierCount is the number of processes that are queried concurrently.
const querierCount = 8

// errCommandPanicked is the result of a command that panicked.
var errCommandPanicked = errors.New("the command crashed")

// runCommand runs the command as a duty of a supervisor tree. The queriers start
// before it and stop after it. A querier that panicked is restarted; a command
// that panicked is not run again.
func runCommand(env *environment, parsed *kong.Context) error {
	ctx, stop := context.WithCancel(context.WithoutCancel(env.ctx))
	defer stop()
	env.queriers = newQuerierPool(codec.NewTransport(queryTimeout))
	c := &command{env: env, parsed: parsed, stop: stop, result: ring.NewReply[error]()}
	var children []supervisor.Child
	for i := range querierCount {
		children = append(children, supervisor.Child{Name: fmt.Sprintf("query-%d", i), Duty: env.queriers.newDuty()})
	}
	children = append(children, supervisor.Child{Name: "command", Duty: c})
	tree := supervisor.New(supervisor.Spec{Name: program, Children: children}, zap.NewNop())
	_ = tree.Serve(ctx)               // returns when the command has ended
	c.result.Send(errCommandPanicked) // ignored if the command has sent its result
	err, _ := c.result.Wait(context.Background())
	return err
}

// command is the duty that runs the parsed command once.
type command struct {
	env     *environment
	parsed  *kong.Context
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
	c.result.Send(c.parsed.Run(c.env))
	return supervisor.ErrDone
}
