//go:build !capacity

package integration

// buildFlags has the race detector, so that a data race in a real process
// fails the test that met it.
var buildFlags = []string{"-race"}
