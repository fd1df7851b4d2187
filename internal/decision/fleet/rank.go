// Package fleet ranks the hosts of a fleet, so that hosts that know the same
// others turn to the same one.
package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SortByHash returns the names of the hosts by the hash of their names. The order
// among the rest does not change when one comes or goes.
func SortByHash[T any](hosts map[string]T) []string {
	return slices.SortedFunc(maps.Keys(hosts), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
}
