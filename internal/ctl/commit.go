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

// prefixVerdicts is where the versions judged bad are kept.
const prefixVerdicts = "verdicts/"

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
	base, err := env.current()
	if err != nil {
		return err
	}
	if c.IfVersion != nil && *c.IfVersion != base.Version {
		return staleError(*c.IfVersion, base, text)
	}
	if sameText(base.Value, text) {
		fmt.Fprintf(env.stdout, "unchanged at version %d\n", base.Version)
		return nil
	}
	if err := checkAgainst(env, c.File, parsed, base); err != nil {
		return err
	}
	writer := &commit{env: env, base: base, text: text}
	version, err := writer.write()
	if err != nil {
		return err
	}
	fmt.Fprintf(env.stdout, "committed version %d\n", version)
	return nil
}

// staleError tells that the version that the operator had read is no longer
// the committed one.
func staleError(asked uint64, found platform.Object, text json.RawMessage) error {
	lines := []string{fmt.Sprintf("not committed: the committed version is %d, not %d", found.Version, asked)}
	if found.Version > 0 {
		lines = append(lines, "this file would have changed in it:")
		lines = append(lines, describe(found.Value, text)...)
	}
	return &exitError{ExitConflict, errors.New(strings.Join(lines, "\n  "))}
}

// checkAgainst checks a manifest in the light of what the platform holds:
// versions judged bad, and new moves whose deadline has passed.
func checkAgainst(env *environment, file string, parsed *manifest.Manifest, base platform.Object) error {
	verdicts, err := env.platform.Watch(env.ctx, prefixVerdicts, 0, 0)
	if err != nil {
		return err
	}
	bad := map[core.EndpointVersion]bool{}
	for _, object := range verdicts.Objects {
		pool, version, _ := strings.Cut(strings.TrimPrefix(object.Key, prefixVerdicts), "/")
		bad[core.EndpointVersion{Pool: pool, Version: core.Version(version)}] = true
	}
	committed := committedMoves(base)
	list := manifest.Check(parsed, committed, bad)
	list = append(list, lateMoves(parsed, committed, time.Now())...)
	list = append(list, changedJournals(parsed, base)...)
	return asFindings(file, append(list, renamedMoves(parsed, committed)...))
}

// renamedMoves reports the moves whose name belongs to another move of the
// committed manifest: a name stands for one pair of versions for good.
func renamedMoves(parsed *manifest.Manifest, committed map[string]manifest.Move) findings.List {
	var list findings.List
	for i, move := range parsed.Moves {
		if old, known := committed[move.Name]; known && !old.Same(move) {
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

// lateMoves reports the moves that the committed manifest does not have and
// whose deadline has passed.
func lateMoves(parsed *manifest.Manifest, committed map[string]manifest.Move, now time.Time) findings.List {
	var late findings.List
	for i, move := range parsed.Moves {
		if _, known := committed[move.Name]; !known && move.DeadlineUnixMS <= now.UnixMilli() {
			late.Add(strictjson.Field(strictjson.Item("moves", i), "deadline_unix_ms"), "has passed")
		}
	}
	return late
}

// commit writes a manifest over the one that was read.
type commit struct {
	env  *environment
	base platform.Object
	text json.RawMessage
	// uncertain tells that an earlier try may have taken effect.
	uncertain bool
}

// write tries until the write is known to have taken effect or not, or the
// command's time is up. Each try is conditional on the version read, so that
// trying again can't write over another commit.
func (c *commit) write() (uint64, error) {
	for failures := 1; ; failures++ {
		outcome, version, err := c.env.platform.PutRecover(c.env.ctx, manifestKey, c.base.Version, c.text, c.judge)
		var conflict *platform.ConflictError
		switch {
		case outcome == platform.Applied:
			return version, nil
		case errors.As(err, &conflict) && !c.uncertain:
			return 0, c.lost(conflict)
		case errors.As(err, &conflict):
			return 0, c.unknown(err)
		}
		if outcome == platform.Undetermined {
			c.uncertain = true
		}
		if !retryable(err) || !c.pause(failures, err) {
			return 0, c.gaveUp(err)
		}
	}
}

// judge recognises the text. Another text tells nothing: it may have been
// committed over this one.
func (c *commit) judge(found platform.Object) platform.Outcome {
	if sameText(found.Value, c.text) {
		return platform.Applied
	}
	return platform.Undetermined
}

func retryable(err error) bool {
	var limited *platform.RateLimitedError
	return errors.As(err, &limited) || errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrOutcomeUnknown)
}

// pause waits before the next try; it returns false when the command's time
// is up.
func (c *commit) pause(failures int, err error) bool {
	delay := backoff.Delay(failures, backoff.MaxDelay, rand.Float64())
	var limited *platform.RateLimitedError
	if errors.As(err, &limited) {
		delay += limited.RetryAfter
	}
	return ring.Pause(c.env.ctx, delay) == nil
}

// lost tells the operator what the commit that came first has changed.
func (c *commit) lost(conflict *platform.ConflictError) error {
	lines := []string{fmt.Sprintf("not committed: another commit came first; the committed version is %d, not %d",
		conflict.Version, c.base.Version)}
	found, err := c.env.current()
	if err == nil && c.base.Version > 0 && found.Version > c.base.Version {
		lines = append(lines, fmt.Sprintf("from version %d to %d it has:", c.base.Version, found.Version))
		lines = append(lines, describe(c.base.Value, found.Value)...)
	}
	return &exitError{ExitConflict, errors.New(strings.Join(lines, "\n  "))}
}

func (c *commit) gaveUp(err error) error {
	if c.uncertain {
		return c.unknown(err)
	}
	return err
}

func (c *commit) unknown(err error) error {
	return &exitError{ExitUnknown, fmt.Errorf("the commit may or may not have taken effect; read it back with get: %w", err)}
}
