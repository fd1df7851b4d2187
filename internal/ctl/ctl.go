// Package ctl implements kingcupctl, the operators' command line tool. It checks
// and commits manifests, and shows the state of processes and moves.
package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"kingcupcourse/internal/findings"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/process"
)

// Exit codes of kingcupctl.
const (
	ExitOK       = process.ExitOK
	ExitFailed   = process.ExitFailed
	ExitFindings = process.ExitFindings
	// ExitConflict means that another commit came first.
	ExitConflict = 3
	// ExitUnavailable means that the platform or all processes were
	// unavailable.
	ExitUnavailable = 4
	// ExitUnknown means that a commit may or may not have taken effect.
	ExitUnknown = 5
)

const (
	program     = "kingcupctl"
	description = `Checks and commits manifests of kingcupcourse, and reads back what is in force.

Exit codes: 0 done; 1 failed; 2 wrong command line or findings; 3 another commit came first; ` +
		`4 the platform or all hosts are out of reach; 5 the commit may or may not have taken effect.`
)

// commandLine defines the commands and the common flags.
type commandLine struct {
	Platform string        `help:"Base URL of the platform's object API." env:"KINGCUP_PLATFORM" placeholder:"URL"`
	Timeout  time.Duration `help:"How long a command may take." default:"15s"`

	Validate   validateCommand   `cmd:"" help:"Check a manifest offline and report all findings."`
	Commit     commitCommand     `cmd:"" help:"Commit a manifest if nobody else has since it was read."`
	Get        getCommand        `cmd:"" help:"Print the committed manifest."`
	Status     statusCommand     `cmd:"" help:"Ask the processes of all hosts what is in force there."`
	Moves      movesCommand      `cmd:"" help:"Print how far the planned moves have come."`
	Explain    explainCommand    `cmd:"" help:"Find in the hosts' logs what became of a request or a move."`
	Completion completionCommand `cmd:"" help:"Print a shell completion script."`

	Version kong.VersionFlag `help:"Print the version and exit."`
}

// environment holds the dependencies of a command.
type environment struct {
	ctx      context.Context
	platform *platform.Client
	queriers *querierPool
	parser   *kong.Kong
	stdin    io.Reader
	stdout   io.Writer
	stderr   io.Writer
}

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *exitError) Unwrap() error { return e.err }

// errNoPlatform is returned by a command that needs the platform's URL if none
// is set.
var errNoPlatform = &exitError{ExitFindings, errors.New("--platform (or KINGCUP_PLATFORM) is missing")}

// Main runs the command line and exits with its code.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// Run runs the command line and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var flags commandLine
	exitCode := -1
	parser, err := kong.New(&flags,
		kong.Name(program),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Vars{"version": program + " " + process.Version()},
		kong.Exit(func(code int) { exitCode = code }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	parsed, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return ExitFindings
	}
	ctx, cancel := context.WithTimeout(ctx, flags.Timeout)
	defer cancel()
	env := &environment{ctx: ctx, parser: parser, stdin: os.Stdin, stdout: stdout, stderr: stderr}
	if flags.Platform != "" {
		env.platform = platform.New(flags.Platform)
	}
	return reportError(runCommand(env, parsed), stderr)
}

// reportError prints an error and returns its exit code.
func reportError(err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var list findings.List
	if errors.As(err, &list) {
		fmt.Fprintln(stderr, list)
		return ExitFindings
	}
	fmt.Fprintf(stderr, "%s: %v\n", program, err)
	var exit *exitError
	var conflict *platform.ConflictError
	var limited *platform.RateLimitedError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, platform.ErrUnavailable), errors.As(err, &limited):
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

// requirePlatform returns an error if no platform URL is set.
func (e *environment) requirePlatform() error {
	if e.platform == nil {
		return errNoPlatform
	}
	return nil
}

// print writes the complete output of a command at once.
func (e *environment) print(text *bytes.Buffer) error {
	_, err := text.WriteTo(e.stdout)
	return err
}
