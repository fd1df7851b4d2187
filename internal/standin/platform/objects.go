package platform

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// object is a stored value with its version.
type object struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// objects is the state of the API at one time.
type objects struct {
	byKey map[string]object
	// revision is the version of the newest write.
	revision int64
}

func newObjects() objects { return objects{byKey: map[string]object{}} }

// put stores the value if the object has the version expected, zero meaning
// that there is none. It returns the version that the object then has.
func (o *objects) put(key string, expected int64, value json.RawMessage) (version int64, ok bool) {
	if found := o.byKey[key].Version; found != expected {
		return found, false
	}
	o.revision++
	o.byKey[key] = object{Key: key, Version: o.revision, Value: value}
	return o.revision, true
}

// changedSince returns the objects under the prefix above the revision, the
// oldest change first.
func (o *objects) changedSince(prefix string, after int64) []object {
	if after >= o.revision {
		return nil
	}
	var found []object
	for key, stored := range o.byKey {
		if stored.Version > after && strings.HasPrefix(key, prefix) {
			found = append(found, stored)
		}
	}
	slices.SortFunc(found, func(a, b object) int { return cmp.Compare(a.Version, b.Version) })
	return found
}

func (o *objects) copy() objects {
	return objects{byKey: maps.Clone(o.byKey), revision: o.revision}
}
