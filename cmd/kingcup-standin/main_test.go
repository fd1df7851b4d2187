package main

import (
	"testing"

	"github.com/alecthomas/kong"
)

func TestCommandLine(t *testing.T) {
	for _, line := range [][]string{
		{"platform", "--object", "hosts=hosts.json"},
		{"engine", "--slots", "2", "--check-fence", "--prefill-tokens-per-second", "100"},
		{"ledger", "--service-time-ms", "3"},
		{"--admin-address", "127.0.0.1:1", "proxy", "--target", "127.0.0.1:2"},
		{"fleet", "--file", "main.go"},
	} {
		var all commands
		parser, err := kong.New(&all)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = parser.Parse(line); err != nil {
			t.Errorf("%v: %v", line, err)
		}
	}
}
