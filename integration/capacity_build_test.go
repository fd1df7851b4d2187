//go:build capacity

package integration

// buildFlags is empty: what is measured is built as it is shipped.
var buildFlags []string
