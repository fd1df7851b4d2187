package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/backoff"
	"kingcupcourse/internal/findings"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/strictjson"
)

// verdictsPrefix is the key prefix of the bad verdicts in the platform.
const verdictsPrefix = "verdicts/"

// commitCommand commits a manifest to the platform.
type commitCommand struct {
	File      string  `arg:"" help:"Manifest file (JSON)." type:"existingfile"`
	IfVersion *uint64 `help:"Commit only if this is still the committed version; 0 for none. Default: the version read at the start." placeholder:"N"`
}

// Run implements the command.
func (c *commitCommand) Run(env *environment) error {
	if err := env.requirePlatform(); err != nil {
		return err
	}
	parsed, text, err := readManifest(c.File)
	if err != nil {
		return err
	}
	base, err := env.committedManifest()
	if err != nil {
		return err
	}
	if c.IfVersion != nil && *c.IfVersion != base.Version {
		return versionMismatchError(*c.IfVersion, base, text)
	}
	if equalJSON(base.Value, text) {
		fmt.Fprintf(env.stdout, "unchanged at version %d\n", base.Version)
		return nil
	}
	if err := checkAgainstPlatform(env, c.File, parsed, base); err != nil {
		return err
	}
	commit := &committer{env: env, base: base, text: text}
	version, err := commit.run()
	if err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "committed version %d\n", version)
	return nil
}

// versionMismatchError reports that the committed version is not the one that
// the operator asked for, and what the file would change.
func versionMismatchError(ifVersion uint64, committed platform.Object, text json.RawMessage) error {
	lines := []string{fmt.Sprintf("not committed: the committed version is %d, not %d", committed.Version, ifVersion)}
	if committed.Version > 0 {
		lines = append(lines, "this file would change:")
		lines = append(lines, describeChanges(committed.Value, text)...)
	}
	return &exitError{ExitConflict, errors.New(strings.Join(lines, "\n  "))}
}

// checkAgainstPlatform checks a manifest against the platform's data: it reports
// moves to versions with a bad verdict, new moves whose deadline has passed,
// changed journal settings and reused move names.
func checkAgainstPlatform(env *environment, file string, parsed *manifest.Manifest, base platform.Object) error {
	verdicts, err := env.platform.Watch(env.ctx, verdictsPrefix, 0, 0)
	if err != nil {
		return err
	}
	bad := map[core.EndpointVersion]bool{}
	for _, object := range verdicts.Objects {
		pool, version, _ := strings.Cut(strings.TrimPrefix(object.Key, verdictsPrefix), "/")
		bad[core.EndpointVersion{Pool: pool, Version: core.Version(version)}] = true
	}
	committed := committedMoves(base)
	list := manifest.CheckBadVersions(parsed, committed, bad)
	list = append(list, checkMoveDeadlines(parsed, committed, time.Now())...)
	list = append(list, checkJournalSettings(parsed, base)...)
	return findingsError(file, append(list, checkMoveNames(parsed, committed)...))
}

// checkMoveNames reports the moves that reuse the name of a different move of
// the committed manifest: a name identifies one pair of versions permanently.
func checkMoveNames(parsed *manifest.Manifest, committed map[string]manifest.Move) findings.List {
	var list findings.List
	for i, move := range parsed.Moves {
		if old, known := committed[move.Name]; known && !old.SameVersions(move) {
			list.Add(strictjson.Field(strictjson.Item("moves", i), "name"),
				"is already used by the move of pool %q from %q to %q; choose a new name",
				old.Pool, old.FromVersion, old.ToVersion)
		}
	}
	return list
}

// committedMoves returns the moves of the committed manifest by name.
func committedMoves(base platform.Object) map[string]manifest.Move {
	committed := map[string]manifest.Move{}
	if old, list := manifest.Parse(base.Value); len(list) == 0 {
		for _, move := range old.Moves {
			committed[move.Name] = move
		}
	}
	return committed
}

// checkMoveDeadlines reports the moves that are not in the committed manifest and
// whose deadline has passed.
func checkMoveDeadlines(parsed *manifest.Manifest, committed map[string]manifest.Move, now time.Time) findings.List {
	var list findings.List
	for i, move := range parsed.Moves {
		if _, known := committed[move.Name]; !known && move.DeadlineUnixMS <= now.UnixMilli() {
			list.Add(strictjson.Field(strictjson.Item("moves", i), "deadline_unix_ms"), "has passed")
		}
	}
	return list
}

// committer replaces the manifest that was read by a new one.
type committer struct {
	env  *environment
	base platform.Object
	text json.RawMessage
	// uncertain is set if an earlier attempt may have taken effect.
	uncertain bool
}

// run retries the write until its outcome is known or the command's timeout
// expires. Each attempt is conditional on the version that was read, so that a
// retry can't overwrite another commit.
func (c *committer) run() (uint64, error) {
	for failures := 1; ; failures++ {
		outcome, version, err := c.env.platform.PutRecover(c.env.ctx, manifestKey, c.base.Version, c.text, c.classify)
		var conflict *platform.ConflictError
		switch {
		case outcome == platform.Applied:
			return version, nil
		case errors.As(err, &conflict) && !c.uncertain:
			return 0, c.conflictError(conflict)
		case errors.As(err, &conflict):
			return 0, c.unknownOutcomeError(err)
		}
		if outcome == platform.Undetermined {
			c.uncertain = true
		}
		if !retryable(err) || !c.waitToRetry(failures, err) {
			return 0, c.finalError(err)
		}
	}
}

// classify returns Applied if the object holds the text of this commit. A
// different text leaves the outcome undetermined, as it may have been committed
// over this one.
func (c *committer) classify(object platform.Object) platform.Outcome {
	if equalJSON(object.Value, c.text) {
		return platform.Applied
	}
	return platform.Undetermined
}

func retryable(err error) bool {
	var limited *platform.RateLimitedError
	return errors.As(err, &limited) || errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrOutcomeUnknown)
}

// waitToRetry waits before the next attempt. It returns false if the command's
// timeout has expired.
func (c *committer) waitToRetry(failures int, err error) bool {
	delay := backoff.Delay(failures, backoff.MaxDelay, rand.Float64())
	var limited *platform.RateLimitedError
	if errors.As(err, &limited) {
		delay += limited.RetryAfter
	}
	return ring.Pause(c.env.ctx, delay) == nil
}

// conflictError reports that another commit came first, and what it has changed.
func (c *committer) conflictError(conflict *platform.ConflictError) error {
	lines := []string{fmt.Sprintf("not committed: another commit came first; the committed version is %d, not %d",
		conflict.Version, c.base.Version)}
	committed, err := c.env.committedManifest()
	if err == nil && c.base.Version > 0 && committed.Version > c.base.Version {
		lines = append(lines, fmt.Sprintf("changes from version %d to %d:", c.base.Version, committed.Version))
		lines = append(lines, describeChanges(c.base.Value, committed.Value)...)
	}
	return &exitError{ExitConflict, errors.New(strings.Join(lines, "\n  "))}
}

func (c *committer) finalError(err error) error {
	if c.uncertain {
		return c.unknownOutcomeError(err)
	}
	return err
}

func (c *committer) unknownOutcomeError(err error) error {
	return &exitError{ExitUnknown, fmt.Errorf("the commit may or may not have taken effect; check with the get command: %w", err)}
}
