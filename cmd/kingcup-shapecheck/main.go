// Command kingcup-shapecheck reports violations of the code's architecture. It
// exits with a non-zero status if there are any.
//
//	go run ./cmd/kingcup-shapecheck -shapeskip.known=KNOWN-RED.txt ./...
package main

import (
	"golang.org/x/tools/go/analysis/multichecker"

	"kingcupcourse/internal/shapecheck"
)

func main() { multichecker.Main(shapecheck.Analyzers...) }
