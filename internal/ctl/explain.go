package ctl

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"kingcupcourse/internal/explain"
)

// explainCommand searches logs for the lines about a request or a move.
type explainCommand struct {
	Request explainRequest `cmd:"" help:"Print what the logs say of a request, in its order."`
	Move    explainMove    `cmd:"" help:"Print what the logs say of a move, in its order."`
}

// explainRequest prints the lines about a request.
type explainRequest struct {
	ID   string   `arg:"" help:"Id of the request."`
	Logs []string `arg:"" optional:"" help:"Log files of the hosts; standard input if there are none."`
}

// explainMove prints the lines about a move.
type explainMove struct {
	Name string   `arg:"" help:"Name of the move, or of the service that is moved."`
	Logs []string `arg:"" optional:"" help:"Log files of the hosts; standard input if there are none."`
}

// Run implements the command.
func (c *explainRequest) Run(env *environment) error {
	log, err := readLogs(env, c.Logs)
	if err != nil {
		return err
	}
	lines := log.RequestLines(c.ID)
	return printLines(env, log, lines, explain.MissingEvents(lines), "request "+c.ID)
}

// Run implements the command.
func (c *explainMove) Run(env *environment) error {
	log, err := readLogs(env, c.Logs)
	if err != nil {
		return err
	}
	return printLines(env, log, log.MoveLines(c.Name), nil, "move "+c.Name)
}

func readLogs(env *environment, paths []string) (*explain.Log, error) {
	log := &explain.Log{}
	if len(paths) == 0 {
		return log, log.Read(env.stdin)
	}
	for _, path := range paths {
		if err := readLog(log, path); err != nil {
			return nil, err
		}
	}
	return log, nil
}

func readLog(log *explain.Log, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return &exitError{ExitFindings, err}
	}
	err = log.Read(file)
	return errors.Join(err, file.Close())
}

// printLines prints the lines, with possible causes marked by a tilde, and the
// missing events.
func printLines(env *environment, log *explain.Log, lines []explain.Line, missing []string, subject string) error {
	if len(lines) == 0 {
		return &exitError{ExitFailed, fmt.Errorf("no log lines about %s (%d lines skipped that are not log lines)", subject, log.Skipped)}
	}
	var text bytes.Buffer
	for _, line := range lines {
		mark := " "
		if line.PossibleCause {
			mark = "~"
		}
		fmt.Fprintf(&text, "%s %s\n", mark, line.Text)
	}
	for _, event := range missing {
		fmt.Fprintf(&text, "not found: %s\n", event)
	}
	return env.print(&text)
}
