// Package fleet orders the hosts of a fleet deterministically, so that all
// hosts with the same membership view select the same host.
package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SortByHash returns the host names ordered by their hash. Adding or removing
// a host does not change the relative order of the others.
func SortByHash[T any](hosts map[string]T) []string {
	return slices.SortedFunc(maps.Keys(hosts), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
}
