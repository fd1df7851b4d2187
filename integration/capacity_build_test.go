//go:build capacity

package integration

import "os"

// buildFlags is empty, so that the measured programs are built as in a release.
var buildFlags []string

// init derives the first port from the process id, since measurements may run
// while tests do. buildAndRun replaces the value before the first test.
func init() { nextPort.Store(int32(1000 + os.Getpid()%7*1000)) }
