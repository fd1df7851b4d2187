// Package process runs the main programs of all roles: command line, log,
// admin and control listeners, control duties, and start and shutdown in order.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/findings"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

// Exit codes of the programs.
const (
	ExitOK = 0
	// ExitFailed is the code for any other failure, such as an address in
	// use.
	ExitFailed = 1
	// ExitFindings is the code for an invalid command line, settings file
	// or input.
	ExitFindings = 2
	// ExitRestartStorm is the code for duties that failed too often in a
	// short time to be restarted.
	ExitRestartStorm = 3
)

// Role describes the program of one role. T is the type of its settings.
type Role[T any] struct {
	// Program is the name of the binary.
	Program string
	// Description is the first line of the help text.
	Description string
	Role        message.Role
	// Load reads the settings file, for example settings.Load[settings.Entry].
	Load func(path string) (*T, error)
	// Common returns the settings that all roles have.
	Common func(*T) *settings.Common
	// Build returns the duties of the role. It may register handlers in the
	// Environment and must not start anything.
	Build func(*Environment, *T) (Duties, error)
}

// Environment holds the dependencies that a role builds its duties with.
type Environment struct {
	Settings settings.Common
	Log      *zap.Logger
	// Metrics is the registry of the process.
	Metrics *prometheus.Registry
	// Platform is the client of the platform's object API.
	Platform *platform.Client
	Control  *control.Control
	// ControlMux is the handler of the control listener; the role registers
	// its handlers in it.
	ControlMux *http.ServeMux
	// Draining reports whether the process is draining after a stop signal. It
	// is safe for concurrent use.
	Draining func() bool
}

// Duties are the children that a role adds to its process. Each list is
// started in its order and stopped in the reverse order.
type Duties struct {
	// BeforeListener are started before the control listener and stopped
	// after it has drained, so that its handlers can rely on them.
	BeforeListener []supervisor.Child
	// AfterListener are started after the control listener and stopped
	// first, while it still serves.
	AfterListener []supervisor.Child
}

// commandLine holds the flags that every role has.
type commandLine struct {
	Settings      string           `help:"Settings file (JSON)." type:"path" placeholder:"FILE" required:""`
	CheckSettings bool             `help:"Check the settings file, report all findings and exit."`
	Version       kong.VersionFlag `help:"Print the version and exit."`
}

// Main runs the program and exits with its code.
func Main[T any](role Role[T]) {
	os.Exit(Run(role, os.Args[1:], os.Stdout, os.Stderr))
}

// Run runs the program with the arguments until SIGTERM or SIGINT, and returns
// its exit code.
func Run[T any](role Role[T], args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return RunContext(ctx, role, args, stdout, stderr)
}

// RunContext is Run with the end of ctx as the stop signal.
func RunContext[T any](ctx context.Context, role Role[T], args []string, stdout, stderr io.Writer) int {
	flags, code, ok := parseCommandLine(role.Program, role.Description, args, stdout, stderr)
	if !ok {
		return code
	}
	loaded, code, ok := loadSettings(role.Load, flags, stdout, stderr)
	if !ok {
		return code
	}
	logger := newLogger(*role.Common(loaded), role.Role, stderr)
	defer func() { _ = logger.Sync() }()
	return serve(ctx, role, loaded, logger)
}

// loadSettings reads the settings file. If ok is false, the program must exit
// with code.
func loadSettings[T any](read func(string) (*T, error), flags commandLine, stdout, stderr io.Writer) (loaded *T, code int, ok bool) {
	loaded, err := read(flags.Settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return nil, settingsExitCode(err), false
	}
	if flags.CheckSettings {
		fmt.Fprintf(stdout, "%s: no findings\n", flags.Settings)
		return nil, ExitOK, false
	}
	return loaded, ExitOK, true
}

// parseCommandLine parses the command line. If ok is false, the program must
// exit with code.
func parseCommandLine(program, description string, args []string, stdout, stderr io.Writer) (flags commandLine, code int, ok bool) {
	exitCode := -1
	parser, err := kong.New(&flags,
		kong.Name(program),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Vars{"version": program + " " + Version()},
		kong.Exit(func(code int) { exitCode = code }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return flags, ExitFailed, false
	}
	_, err = parser.Parse(args)
	if exitCode >= 0 {
		return flags, exitCode, false
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return flags, ExitFindings, false
	}
	return flags, ExitOK, true
}

// settingsExitCode returns the exit code for an error of loading the settings.
func settingsExitCode(err error) int {
	var list findings.List
	if errors.As(err, &list) {
		return ExitFindings
	}
	return ExitFailed
}
