//go:build !capacity

package integration

// buildFlags enables the race detector, so that a data race in a process under
// test fails the test that triggered it.
var buildFlags = []string{"-race"}
