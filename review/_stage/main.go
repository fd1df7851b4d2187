// Command stage plays one case against the project's own host programs: it runs the
// stand-ins of the store, the workers and the clients, and starts the hosts as the deploy
// file says.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	held, broken, failedToRun = 0, 1, 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		os.Exit(failedToRun)
	}
	cases := map[string]func(*record, bool) int{"leak": leak, "stale": stale, "bounds": bounds}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(failedToRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failedToRun)
	}
	code := play(r, os.Getenv("TROUBLE") != "0")
	r.printf("exit code %d", code)
	os.Exit(code)
}
