// Package process holds what the main programs of all roles share: the
// command line, the log, the admin and control listeners, the control duties,
// and an orderly start and end.
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
	// ExitFailed is for a failure that is none of the others, such as an
	// address in use.
	ExitFailed = 1
	// ExitFindings is for a command line, settings or an input with
	// findings.
	ExitFindings = 2
	// ExitRestartStorm is for duties that failed too fast to be restarted.
	ExitRestartStorm = 3
)

// Role describes one of the programs. T is the type of its settings.
type Role[T any] struct {
	// Program is the name of the binary.
	Program string
	// Description is the first line of its help.
	Description string
	Role        message.Role
	// Load reads the settings file, such as settings.Load[settings.Entry].
	Load func(path string) (*T, error)
	// Common returns the common part of the settings.
	Common func(*T) *settings.Common
	// Build returns the duties of the role. It may register handlers with
	// the Environment and must not start anything.
	Build func(*Environment, *T) (Duties, error)
}

// Environment is what a role builds its duties with.
type Environment struct {
	Settings settings.Common
	Log      *zap.Logger
	// Metrics is the process's own registry.
	Metrics *prometheus.Registry
	// Platform is the process's client of the object API.
	Platform *platform.Client
	Control  *control.Control
	// ControlMux serves the control listener; the role adds its handlers.
	ControlMux *http.ServeMux
	// Draining tells whether the process has been told to stop. It may be
	// called by any duty.
	Draining func() bool
}

// Duties are the children that a role adds to its process. They are started
// in the order given, and stopped in the reverse.
type Duties struct {
	// BeforeListener are stopped after the control listener has drained, so that
	// its handlers can rely on them.
	BeforeListener []supervisor.Child
	// AfterListener are stopped first, while the control listener still serves.
	// They start last.
	AfterListener []supervisor.Child
}

// commandLine is what every role understands.
type commandLine struct {
	Settings      string           `help:"Settings file (JSON)." type:"path" placeholder:"FILE" required:""`
	CheckSettings bool             `help:"Check the settings file, report all findings and exit."`
	Version       kong.VersionFlag `help:"Print the version and exit."`
}

// Main runs the program and exits with its code.
func Main[T any](role Role[T]) {
	os.Exit(Run(role, os.Args[1:], os.Stdout, os.Stderr))
}

// Run runs the program with these arguments until it is stopped by SIGTERM or
// SIGINT, and returns its exit code.
func Run[T any](role Role[T], args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return RunContext(ctx, role, args, stdout, stderr)
}

// RunContext is Run for a program that is told to stop by the end of ctx.
func RunContext[T any](ctx context.Context, role Role[T], args []string, stdout, stderr io.Writer) int {
	line, code, ok := parseCommandLine(role.Program, role.Description, args, stdout, stderr)
	if !ok {
		return code
	}
	loaded, code, ok := loadSettings(role.Load, line, stdout, stderr)
	if !ok {
		return code
	}
	log := newLogger(*role.Common(loaded), role.Role, stderr)
	defer func() { _ = log.Sync() }()
	return serve(ctx, role, loaded, log)
}

// loadSettings reads the settings. ok tells whether to go on; otherwise code is the
// exit code.
func loadSettings[T any](read func(string) (*T, error), line commandLine, stdout, stderr io.Writer) (loaded *T, code int, ok bool) {
	loaded, err := read(line.Settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return nil, settingsExitCode(err), false
	}
	if line.CheckSettings {
		fmt.Fprintf(stdout, "%s: no findings\n", line.Settings)
		return nil, ExitOK, false
	}
	return loaded, ExitOK, true
}

// parseCommandLine reads the command line. ok tells whether to go on; otherwise code is
// the exit code.
func parseCommandLine(program, description string, args []string, stdout, stderr io.Writer) (line commandLine, code int, ok bool) {
	exited := -1
	parser, err := kong.New(&line,
		kong.Name(program),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Vars{"version": program + " " + Version()},
		kong.Exit(func(code int) { exited = code }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return line, ExitFailed, false
	}
	_, err = parser.Parse(args)
	if exited >= 0 {
		return line, exited, false
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return line, ExitFindings, false
	}
	return line, ExitOK, true
}

// settingsExitCode returns the exit code for settings that did not load.
func settingsExitCode(err error) int {
	var list findings.List
	if errors.As(err, &list) {
		return ExitFindings
	}
	return ExitFailed
}
