package process

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcourse/internal/budget"
	"kingcupcourse/internal/control"
	decision "kingcupcourse/internal/decision/budget"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

const (
	// listenerGrace is how long the admin and control listeners wait at a
	// stop for calls in progress to finish.
	listenerGrace = 5 * time.Second
	// stopMargin is added to the drain time of the settings, so that a duty
	// can report the end of its drain before its supervisor abandons it.
	stopMargin = 5 * time.Second
)

// processTree holds the root supervisor of a process and its drain state.
type processTree struct {
	root     *supervisor.Supervisor
	draining drainState
	// stop stops the tree after the drain delay.
	stop context.CancelFunc
}

// serve builds the tree and runs it until it has drained after the end of ctx,
// or ends with a restart storm. It returns the exit code.
func serve[T any](ctx context.Context, role Role[T], loaded *T, log *zap.Logger) int {
	treeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	budget.LimitHeap(role.Common(loaded).MemoryMB.Bytes())
	t := &processTree{stop: stop}
	if err := buildTree(ctx, t, role, loaded, log); err != nil {
		log.Error("start failed", zap.String("error", eris.ToString(err, false)))
		return ExitFailed
	}
	return t.run(treeCtx, log)
}

// run serves the tree until ctx ends or a restart storm, and returns the exit
// code.
func (t *processTree) run(ctx context.Context, log *zap.Logger) int {
	log.Info("starting", zap.String("version", Version()), zap.Strings("duties", t.root.Paths()))
	err := t.root.Serve(ctx)
	if errors.Is(err, supervisor.ErrRestartStorm) {
		log.Error("giving up", zap.Error(err))
		return ExitRestartStorm
	}
	log.Info("stopped")
	return ExitOK
}

// buildTree builds the root supervisor. Its children are started in this order
// and stopped in the reverse order: the role's AfterListener duties drain first,
// while the others still serve them, and metrics stay readable to the end. A
// child that fails is restarted alone; a restart storm ends the process.
func buildTree[T any](stopSignal context.Context, t *processTree, role Role[T], loaded *T, log *zap.Logger) error {
	common := *role.Common(loaded)
	env := newEnvironment(t, role, common, log)
	duties, err := role.Build(env, loaded)
	if err != nil {
		return eris.Wrap(err, "build duties")
	}
	peersBudget := budget.New("peers", decision.PeerLimitsFor(common.MemoryMB.Bytes(), common.MaxFiles.Int()), log)
	adminListener, err := supervisor.Listen(common.Admin, budget.MessageHandler(t.adminHandler(env)), listenerGrace)
	if err != nil {
		return eris.Wrap(err, "listen on the admin address")
	}
	adminListener.WrapConnections(peersBudget.Accept)
	controlListener, err := supervisor.Listen(common.Control, budget.MessageHandler(env.ControlMux), listenerGrace)
	if err != nil {
		return eris.Wrap(err, "listen on the control address")
	}
	controlListener.WrapConnections(peersBudget.Accept)
	stopTimeout := common.DrainMS.Duration() + stopMargin
	t.root = supervisor.New(supervisor.Spec{Name: role.Program, Children: slices.Concat(
		[]supervisor.Child{
			{Name: "peers-budget", Duty: peersBudget},
			{Name: "admin", Duty: adminListener},
			{Name: "control", Duty: env.Control.Supervisor()},
		},
		withStopTimeout(duties.BeforeListener, stopTimeout),
		[]supervisor.Child{{Name: "peers", Duty: controlListener}},
		withStopTimeout(duties.AfterListener, stopTimeout),
		[]supervisor.Child{{Name: "drain", Duty: t.newDrain(stopSignal, env)}},
	)}, log)
	return nil
}

func newEnvironment[T any](t *processTree, role Role[T], common settings.Common, log *zap.Logger) *Environment {
	registry := prometheus.NewRegistry()
	registry.MustRegister(ring.Collector{}, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(budget.Collectors()...)
	env := &Environment{
		Settings:   common,
		Log:        log,
		Metrics:    registry,
		Platform:   platform.New(common.Platform),
		ControlMux: http.NewServeMux(),
		Draining:   t.draining.Draining,
	}
	env.Control = control.New(control.Options{
		Settings: common,
		Role:     role.Role,
		Log:      log,
		Metrics:  registry,
		Platform: env.Platform,
	})
	env.Control.RegisterHandlers(env.ControlMux)
	return env
}

// withStopTimeout sets the stop timeout of the children that have none.
func withStopTimeout(children []supervisor.Child, timeout time.Duration) []supervisor.Child {
	children = slices.Clone(children)
	for i := range children {
		if children[i].StopTimeout == 0 {
			children[i].StopTimeout = timeout
		}
	}
	return children
}
