//go:build capacity

package integration

import "os"

// buildFlags is empty: what is measured is built as it is shipped.
var buildFlags []string

// init spreads the ports of measurements that run beside tests.
func init() { nextPort.Store(int32(1000 + os.Getpid()%7*1000)) }
