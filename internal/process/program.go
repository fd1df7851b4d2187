package process

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

// Program describes a program whose duties are its own: unlike a Role it has
// no listeners or control duties in common with others. T is the type of its
// settings.
type Program[T any] struct {
	// Name is the name of the binary.
	Name string
	// Description is the first line of its help.
	Description string
	// Load reads the settings file.
	Load func(path string) (*T, error)
	// Log returns what the log needs of the settings.
	Log func(*T) LogTerms
	// Stopping returns how the program stops.
	Stopping func(*T) Stopping
	// Build returns the children of the root. It must not start anything.
	Build func(Surroundings, *T) ([]supervisor.Child, error)
}

// LogTerms tells what the log shows and who writes it.
type LogTerms struct {
	Host string
	settings.Log
}

// Stopping tells how long the steps of a stop take.
type Stopping struct {
	// Delay is how long the program goes on after the signal to stop, while
	// it is already unready, so that the balancer turns elsewhere.
	Delay time.Duration
}

// Surroundings is what a program builds its duties with.
type Surroundings struct {
	Log *zap.Logger
	// Draining tells whether the process has been told to stop.
	Draining func() bool
}

// MainProgram runs the program until SIGTERM or SIGINT and exits with its
// code.
func MainProgram[T any](program Program[T]) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := RunProgram(ctx, program, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// RunProgram runs the program until ctx ends, and returns its exit code.
func RunProgram[T any](ctx context.Context, program Program[T], args []string, stdout, stderr io.Writer) int {
	line, code, ok := parse(program.Name, program.Description, args, stdout, stderr)
	if !ok {
		return code
	}
	loaded, code, ok := load(program.Load, line, stdout, stderr)
	if !ok {
		return code
	}
	terms := program.Log(loaded)
	lines := newLogWriter(stdout)
	log, level := newLogTo(terms.Log, lines)
	log = log.With(zap.String("host", terms.Host))
	// net/http writes to the standard logger what no caller can be told.
	restore, err := zap.RedirectStdLogAt(log, zapcore.WarnLevel)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	defer restore()
	treeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	t := &tree{stop: stop}
	children, err := program.Build(Surroundings{Log: log, Draining: t.draining.Load}, loaded)
	if err != nil {
		fmt.Fprintln(stderr, eris.ToString(err, false))
		return ExitFailed
	}
	delay := &drain{
		signalled: ctx, tree: t, leave: func(context.Context) error { return nil }, log: log,
		delay: program.Stopping(loaded).Delay, idle: ring.New[struct{}]("process_drain", 1),
	}
	again := &reload[T]{program: program, path: line.Settings, current: loaded, level: level, log: log}
	t.root = supervisor.New(supervisor.Spec{Name: program.Name, Children: slices.Concat(
		[]supervisor.Child{{Name: "log", Duty: lines}, {Name: "reload", Duty: again}}, children,
		[]supervisor.Child{{Name: "drain", Duty: delay}},
	)}, log)
	return t.run(treeCtx, log)
}

// newLogTo returns a log with the settings' format, and its level, which can be
// changed.
func newLogTo(terms settings.Log, out zapcore.WriteSyncer) (*zap.Logger, zap.AtomicLevel) {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(config)
	if terms.Format == "console" {
		encoder = zapcore.NewConsoleEncoder(config)
	}
	level, err := zap.ParseAtomicLevel(terms.Level)
	if err != nil {
		level = zap.NewAtomicLevel() // settings were checked before
	}
	return zap.New(zapcore.NewCore(encoder, out, level)), level
}
