package ctl

import (
	"kingcupcourse/internal/findings"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/strictjson"
)

// checkJournalSettings reports the pools whose journal settings differ from
// those that the journal was written with: a request whose key is in the journal
// could then run a second time.
func checkJournalSettings(parsed *manifest.Manifest, base platform.Object) findings.List {
	old, oldFindings := manifest.Parse(base.Value)
	if len(oldFindings) > 0 {
		return nil
	}
	var list findings.List
	for i, pool := range parsed.Pools {
		before, known := old.Pool(pool.Name)
		if !known {
			continue
		}
		checkUnchanged := func(field string, oldValue, newValue int64) {
			if oldValue != newValue {
				list.Add(strictjson.Field(strictjson.Item("pools", i), field),
					"is %d for this pool and cannot change, because requests with journaled keys could run again; use a pool with another name",
					oldValue)
			}
		}
		checkUnchanged("journal_slots", int64(before.JournalSlots), int64(pool.JournalSlots))
		checkUnchanged("retention_ms", before.RetentionMS, pool.RetentionMS)
		checkUnchanged("clock_skew_ms", before.ClockSkewMS, pool.ClockSkewMS)
	}
	return list
}
