// Package ctl is the operators' command line: it checks and commits
// manifests, and reads back what is in force and how far moves have come.
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
	// ExitUnavailable means that nobody answered.
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

// commandLine lists the commands and common flags.
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

// environment is what a command runs with.
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

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// errNoPlatform is returned by a command that needs the platform's URL.
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
	var line commandLine
	exited := -1
	parser, err := kong.New(&line,
		kong.Name(program),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Vars{"version": program + " " + process.Version()},
		kong.Exit(func(code int) { exited = code }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	chosen, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return ExitFindings
	}
	ctx, cancel := context.WithTimeout(ctx, line.Timeout)
	defer cancel()
	env := &environment{ctx: ctx, parser: parser, stdin: os.Stdin, stdout: stdout, stderr: stderr}
	if line.Platform != "" {
		env.platform = platform.New(line.Platform)
	}
	return reportError(runCommand(env, chosen), stderr)
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

// requirePlatform returns an error if no platform was named.
func (e *environment) requirePlatform() error {
	if e.platform == nil {
		return errNoPlatform
	}
	return nil
}

// print writes a command's whole output at once.
func (e *environment) print(text *bytes.Buffer) error {
	_, err := text.WriteTo(e.stdout)
	return err
}
