package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/canary"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

// movesPrefix is the key prefix of the status of the moves in the platform.
const movesPrefix = "status/moves/"

// movesCommand prints the progress of the moves.
type movesCommand struct {
	JSON bool `help:"Print JSON." name:"json"`
}

// moveStatus is a move with its stage.
type moveStatus struct {
	Move        string        `json:"move"`
	Pool        string        `json:"pool"`
	FromVersion core.Version  `json:"from_version,omitempty"`
	ToVersion   core.Version  `json:"to_version,omitempty"`
	Stage       message.Stage `json:"stage"`
	Share       float64       `json:"share"`
	// DeadlineUnixMS is zero for a move that is no longer in the manifest.
	DeadlineUnixMS int64  `json:"deadline_unix_ms,omitempty"`
	Reason         string `json:"reason,omitempty"`
	// Holder and Evidence belong to the latest stage.
	Holder   string                 `json:"holder,omitempty"`
	Evidence []canary.RouteEvidence `json:"evidence,omitempty"`
}

// Run implements the command.
func (c *movesCommand) Run(env *environment) error {
	if err := env.requirePlatform(); err != nil {
		return err
	}
	moves, err := readMoves(env)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if c.JSON {
		err = writeJSON(&text, moves)
	} else {
		err = writeMoves(&text, moves)
	}
	if err != nil {
		return err
	}
	return env.print(&text)
}

// readMoves returns the moves of the manifest, followed by those that only have
// a status.
func readMoves(env *environment) ([]moveStatus, error) {
	object, err := env.committedManifest()
	if err != nil {
		return nil, err
	}
	changes, err := env.platform.Watch(env.ctx, movesPrefix, 0, 0)
	if err != nil {
		return nil, err
	}
	stages := map[string]message.MoveStatus{}
	for _, o := range changes.Objects {
		var stage message.MoveStatus
		if err := json.Unmarshal(o.Value, &stage); err != nil {
			return nil, fmt.Errorf("%s: %w", o.Key, err)
		}
		stages[strings.TrimPrefix(o.Key, movesPrefix)] = stage
	}
	return mergeMoves(object.Value, stages), nil
}

func mergeMoves(text json.RawMessage, stages map[string]message.MoveStatus) []moveStatus {
	moves := []moveStatus{}
	if parsed, list := manifest.Parse(text); len(list) == 0 {
		for _, planned := range parsed.Moves {
			moves = append(moves, newMoveStatus(planned, stages))
			delete(stages, planned.Name)
		}
	}
	var unplanned []moveStatus
	for name, stage := range stages {
		status := moveStatus{Move: name, Pool: stage.Pool, FromVersion: stage.FromVersion, ToVersion: stage.ToVersion}
		unplanned = append(unplanned, status.withStage(stage))
	}
	slices.SortFunc(unplanned, func(a, b moveStatus) int { return strings.Compare(a.Move, b.Move) })
	return append(moves, unplanned...)
}

func newMoveStatus(planned manifest.Move, stages map[string]message.MoveStatus) moveStatus {
	status := moveStatus{
		Move:           planned.Name,
		Pool:           planned.Pool,
		FromVersion:    planned.FromVersion,
		ToVersion:      planned.ToVersion,
		Stage:          message.StagePending,
		DeadlineUnixMS: planned.DeadlineUnixMS,
	}
	if stage, ok := stages[planned.Name]; ok {
		return status.withStage(stage)
	}
	return status
}

// withStage returns the move with the stage that it has reached.
func (s moveStatus) withStage(reached message.MoveStatus) moveStatus {
	s.Stage, s.Share, s.Reason = reached.Stage, reached.Share, reached.Reason
	s.Holder, s.Evidence = reached.Holder, reached.Evidence
	return s
}

func writeMoves(out *bytes.Buffer, moves []moveStatus) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MOVE\tPOOL\tFROM\tTO\tSTAGE\tSHARE\tDEADLINE\tHOLDER\tREASON")
	for _, m := range moves {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.2f\t%s\t%s\t%s\n", m.Move, m.Pool, m.FromVersion, m.ToVersion,
			m.Stage, m.Share, formatDeadline(m.DeadlineUnixMS), m.Holder, m.Reason)
	}
	return table.Flush()
}

func formatDeadline(unixMS int64) string {
	if unixMS == 0 {
		return "not in the manifest"
	}
	return time.UnixMilli(unixMS).UTC().Format(time.RFC3339)
}
