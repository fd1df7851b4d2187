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

// Program describes a program without the listeners and control duties that
// programs of a Role have. T is the type of its settings.
type Program[T any] struct {
	// Name is the name of the binary.
	Name string
	// Description is the first line of the help text.
	Description string
	// Load reads the settings file.
	Load func(path string) (*T, error)
	// Log returns the settings of the log.
	Log func(*T) LogConfig
	// Shutdown returns the settings of the shutdown.
	Shutdown func(*T) ShutdownConfig
	// Build returns the children of the root supervisor. It must not start
	// anything.
	Build func(ProgramEnvironment, *T) ([]supervisor.Child, error)
}

// LogConfig holds the settings of the log and the host in its lines.
type LogConfig struct {
	Host string
	settings.Log
}

// ShutdownConfig holds the settings of the shutdown.
type ShutdownConfig struct {
	// DrainDelay is how long the program keeps serving after the stop signal
	// while it reports not ready, so that the load balancer sends requests
	// elsewhere.
	DrainDelay time.Duration
}

// ProgramEnvironment holds the dependencies that a program builds its duties
// with.
type ProgramEnvironment struct {
	Log *zap.Logger
	// DrainingSince returns when the process began to drain after a stop signal, zero
	// before.
	DrainingSince func() time.Time
}

// MainProgram runs the program until SIGTERM or SIGINT and exits with its exit
// code.
func MainProgram[T any](program Program[T]) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := RunProgram(ctx, program, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// RunProgram runs the program until ctx ends, and returns its exit code.
func RunProgram[T any](ctx context.Context, program Program[T], args []string, stdout, stderr io.Writer) int {
	flags, code, ok := parseCommandLine(program.Name, program.Description, args, stdout, stderr)
	if !ok {
		return code
	}
	loaded, code, ok := loadSettings(program.Load, flags, stdout, stderr)
	if !ok {
		return code
	}
	logConfig := program.Log(loaded)
	writer := newLogWriter(stdout)
	logger, level := newLoggerTo(logConfig.Log, writer)
	logger = logger.With(zap.String("host", logConfig.Host))
	// net/http reports errors that it can't return to a caller to the
	// standard logger.
	restore, err := zap.RedirectStdLogAt(logger, zapcore.WarnLevel)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	defer restore()
	treeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	t := &processTree{stop: stop}
	children, err := program.Build(ProgramEnvironment{Log: logger, DrainingSince: t.draining.Since}, loaded)
	if err != nil {
		fmt.Fprintln(stderr, eris.ToString(err, false))
		return ExitFailed
	}
	drainDuty := &drain{
		stopSignal: ctx, tree: t, announceDraining: func(context.Context) error { return nil }, log: logger,
		delay: program.Shutdown(loaded).DrainDelay, neverFilled: ring.New[struct{}]("process_drain", 1),
	}
	reloadDuty := &reload[T]{program: program, path: flags.Settings, initial: loaded, level: level, log: logger}
	t.root = supervisor.New(supervisor.Spec{Name: program.Name, Children: slices.Concat(
		[]supervisor.Child{{Name: "log", Duty: writer}, {Name: "reload", Duty: reloadDuty}}, children,
		[]supervisor.Child{{Name: "drain", Duty: drainDuty}},
	)}, logger)
	return t.run(treeCtx, logger)
}

// newLoggerTo returns a logger that writes to out in the format of the
// settings, and its level, which can be changed while it is in use.
func newLoggerTo(logSettings settings.Log, out zapcore.WriteSyncer) (*zap.Logger, zap.AtomicLevel) {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(config)
	if logSettings.Format == "console" {
		encoder = zapcore.NewConsoleEncoder(config)
	}
	level, err := zap.ParseAtomicLevel(logSettings.Level)
	if err != nil {
		level = zap.NewAtomicLevel() // not reached: settings.Load has checked the level
	}
	return zap.New(zapcore.NewCore(encoder, out, level)), level
}
