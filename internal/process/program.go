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
	Log func(*T) LogConfig
	// Shutdown returns how the program stops.
	Shutdown func(*T) ShutdownConfig
	// Build returns the children of the root. It must not start anything.
	Build func(ProgramEnvironment, *T) ([]supervisor.Child, error)
}

// LogConfig tells what the log shows and who writes it.
type LogConfig struct {
	Host string
	settings.Log
}

// ShutdownConfig tells how long the steps of a stop take.
type ShutdownConfig struct {
	// DrainDelay is how long the program goes on after the signal to stop, while
	// it is already unready, so that the balancer turns elsewhere.
	DrainDelay time.Duration
}

// ProgramEnvironment is what a program builds its duties with.
type ProgramEnvironment struct {
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
	line, code, ok := parseCommandLine(program.Name, program.Description, args, stdout, stderr)
	if !ok {
		return code
	}
	loaded, code, ok := loadSettings(program.Load, line, stdout, stderr)
	if !ok {
		return code
	}
	terms := program.Log(loaded)
	lines := newLogWriter(stdout)
	log, level := newLoggerTo(terms.Log, lines)
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
	t := &processTree{stop: stop}
	children, err := program.Build(ProgramEnvironment{Log: log, Draining: t.draining.Load}, loaded)
	if err != nil {
		fmt.Fprintln(stderr, eris.ToString(err, false))
		return ExitFailed
	}
	delay := &drain{
		stopSignal: ctx, tree: t, announceDraining: func(context.Context) error { return nil }, log: log,
		delay: program.Shutdown(loaded).DrainDelay, neverFilled: ring.New[struct{}]("process_drain", 1),
	}
	again := &reload[T]{program: program, path: line.Settings, initial: loaded, level: level, log: log}
	t.root = supervisor.New(supervisor.Spec{Name: program.Name, Children: slices.Concat(
		[]supervisor.Child{{Name: "log", Duty: lines}, {Name: "reload", Duty: again}}, children,
		[]supervisor.Child{{Name: "drain", Duty: delay}},
	)}, log)
	return t.run(treeCtx, log)
}

// newLoggerTo returns a log with the settings' format, and its level, which can be
// changed.
func newLoggerTo(terms settings.Log, out zapcore.WriteSyncer) (*zap.Logger, zap.AtomicLevel) {
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
