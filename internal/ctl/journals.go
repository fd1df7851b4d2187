package ctl

import (
	"kingcupcourse/internal/findings"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/platform"
	"kingcupcourse/internal/strictjson"
)

// checkJournalSettings reports the pools whose journal would be read or kept in
// another way than it was written: a key that it remembers could then run a
// second time.
func checkJournalSettings(parsed *manifest.Manifest, base platform.Object) findings.List {
	old, found := manifest.Parse(base.Value)
	if len(found) > 0 {
		return nil
	}
	var list findings.List
	for i, pool := range parsed.Pools {
		before, known := old.Pool(pool.Name)
		if !known {
			continue
		}
		fixed := func(field string, was, is int64) {
			if was != is {
				list.Add(strictjson.Field(strictjson.Item("pools", i), field),
					"is %d for this pool and cannot change, as keys in force could run again; use a pool of another name", was)
			}
		}
		fixed("journal_slots", int64(before.JournalSlots), int64(pool.JournalSlots))
		fixed("retention_ms", before.RetentionMS, pool.RetentionMS)
		fixed("clock_skew_ms", before.ClockSkewMS, pool.ClockSkewMS)
	}
	return list
}
