// Command kingcup-load sends a reproducible load to entry hosts and reports
// goodput and latencies as the callers measure them.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"kingcupcourse/internal/load/command"
	"kingcupcourse/internal/process"
)

func main() {
	var cli command.CLI
	parsed := kong.Parse(&cli, kong.Name("kingcup-load"), kong.UsageOnError(), kong.Vars{"version": "kingcup-load " + process.Version()},
		kong.Description("Send a seeded load to entry hosts and report goodput by tier, wasted prefill and latencies."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
