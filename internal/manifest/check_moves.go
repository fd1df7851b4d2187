package manifest

import (
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/findings"
	"kingcupcourse/internal/strictjson"
)

func (c *checker) checkMove(path string, i int) {
	move := c.m.Moves[i]
	c.checkName(path+".name", "move", move.Name)
	if move.DeadlineUnixMS <= 0 {
		c.document.Add(path+".deadline_unix_ms", "must be a time in Unix milliseconds, not %d", move.DeadlineUnixMS)
	}
	if move.MaxShare <= 0 || move.MaxShare > 1 {
		c.document.Add(path+".max_share", "must be above 0 and at most 1, not %v", move.MaxShare)
	}
	c.checkPositive(path+".soak_ms", float64(move.SoakMS))
	if move.FromVersion == move.ToVersion {
		c.document.Add(path+".to_version", "is the same as from_version")
	}
	c.checkMovePool(path, move)
	c.checkMoveConflicts(path, i)
}

func (c *checker) checkMovePool(path string, move Move) {
	pool := c.pools[move.Pool]
	if pool == nil {
		c.document.Add(path+".pool", "there is no pool %q", move.Pool)
		return
	}
	for field, version := range map[string]core.Version{
		"from_version": move.FromVersion, "to_version": move.ToVersion,
	} {
		if !pool.hasVersion(version) {
			c.document.Add(strictjson.Field(path, field), "no endpoint of pool %q has version %q", move.Pool, version)
		}
	}
}

// checkMoveConflicts reports a move to a version that an earlier move of the
// pool already moves to, and a move that reverses an earlier one.
func (c *checker) checkMoveConflicts(path string, i int) {
	move := c.m.Moves[i]
	for j, other := range c.m.Moves[:i] {
		if other.Pool != move.Pool {
			continue
		}
		if other.ToVersion == move.ToVersion {
			c.document.Add(path+".to_version", "%s already moves to %q", strictjson.Item("moves", j), move.ToVersion)
		}
		if other.FromVersion == move.ToVersion && other.ToVersion == move.FromVersion {
			c.document.Add(path, "reverses %s", strictjson.Item("moves", j))
		}
	}
}

func (p *Pool) hasVersion(version core.Version) bool {
	for _, e := range p.Endpoints {
		if e.Version == version {
			return true
		}
	}
	return false
}

// SameVersions reports whether both moves are between the same versions of the
// same pool.
func (m Move) SameVersions(other Move) bool {
	return m.Pool == other.Pool && m.FromVersion == other.FromVersion && m.ToVersion == other.ToVersion
}

// CheckBadVersions reports the moves to a version with a bad verdict. Moves in
// committed, which holds the committed moves by name, are not reported: a
// committed move may stay listed after it was reverted.
func CheckBadVersions(m *Manifest, committed map[string]Move, bad map[core.EndpointVersion]bool) findings.List {
	var list findings.List
	for i, move := range m.Moves {
		if old, known := committed[move.Name]; known && old.SameVersions(move) {
			continue
		}
		if bad[core.EndpointVersion{Pool: move.Pool, Version: move.ToVersion}] {
			list.Add(strictjson.Field(strictjson.Item("moves", i), "to_version"),
				"version %q of pool %q was judged bad", move.ToVersion, move.Pool)
		}
	}
	return list
}
