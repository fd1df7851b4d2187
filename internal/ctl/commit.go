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

// verdictsPrefix is where the versions judged bad are kept.
const verdictsPrefix = "verdicts/"

// commitCommand commits a manifest.
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
	writer := &committer{env: env, base: base, text: text}
	version, err := writer.run()
	if err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "committed version %d\n", version)
	return nil
}

// versionMismatchError tells that the version that the operator had read is no longer
// the committed one.
func versionMismatchError(asked uint64, found platform.Object, text json.RawMessage) error {
	lines := []string{fmt.Sprintf("not committed: the committed version is %d, not %d", found.Version, asked)}
	if found.Version > 0 {
		lines = append(lines, "this file would have changed in it:")
		lines = append(lines, describeChanges(found.Value, text)...)
	}
	return &exitError{ExitConflict, errors.New(strings.Join(lines, "\n  "))}
}

// checkAgainstPlatform checks a manifest in the light of what the platform holds:
// versions judged bad, and new moves whose deadline has passed.
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

// checkMoveNames reports the moves whose name belongs to another move of the
// committed manifest: a name stands for one pair of versions for good.
func checkMoveNames(parsed *manifest.Manifest, committed map[string]manifest.Move) findings.List {
	var list findings.List
	for i, move := range parsed.Moves {
		if old, known := committed[move.Name]; known && !old.SameVersions(move) {
			list.Add(strictjson.Field(strictjson.Item("moves", i), "name"),
				"is that of the move of pool %q from %q to %q; use a new one", old.Pool, old.FromVersion, old.ToVersion)
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

// checkMoveDeadlines reports the moves that the committed manifest does not have and
// whose deadline has passed.
func checkMoveDeadlines(parsed *manifest.Manifest, committed map[string]manifest.Move, now time.Time) findings.List {
	var late findings.List
	for i, move := range parsed.Moves {
		if _, known := committed[move.Name]; !known && move.DeadlineUnixMS <= now.UnixMilli() {
			late.Add(strictjson.Field(strictjson.Item("moves", i), "deadline_unix_ms"), "has passed")
		}
	}
	return late
}

// committer writes a manifest over the one that was read.
type committer struct {
	env  *environment
	base platform.Object
	text json.RawMessage
	// uncertain tells that an earlier try may have taken effect.
	uncertain bool
}

// run tries until the run is known to have taken effect or not, or the
// command's time is up. Each try is conditional on the version read, so that
// trying again can't run over another commit.
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

// classify recognises the text. Another text tells nothing: it may have been
// committed over this one.
func (c *committer) classify(found platform.Object) platform.Outcome {
	if equalJSON(found.Value, c.text) {
		return platform.Applied
	}
	return platform.Undetermined
}

func retryable(err error) bool {
	var limited *platform.RateLimitedError
	return errors.As(err, &limited) || errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrOutcomeUnknown)
}

// waitToRetry waits before the next try; it returns false when the command's time
// is up.
func (c *committer) waitToRetry(failures int, err error) bool {
	delay := backoff.Delay(failures, backoff.MaxDelay, rand.Float64())
	var limited *platform.RateLimitedError
	if errors.As(err, &limited) {
		delay += limited.RetryAfter
	}
	return ring.Pause(c.env.ctx, delay) == nil
}

// conflictError tells the operator what the commit that came first has changed.
func (c *committer) conflictError(conflict *platform.ConflictError) error {
	lines := []string{fmt.Sprintf("not committed: another commit came first; the committed version is %d, not %d",
		conflict.Version, c.base.Version)}
	found, err := c.env.committedManifest()
	if err == nil && c.base.Version > 0 && found.Version > c.base.Version {
		lines = append(lines, fmt.Sprintf("from version %d to %d it has:", c.base.Version, found.Version))
		lines = append(lines, describeChanges(c.base.Value, found.Value)...)
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
	return &exitError{ExitUnknown, fmt.Errorf("the commit may or may not have taken effect; read it back with get: %w", err)}
}
