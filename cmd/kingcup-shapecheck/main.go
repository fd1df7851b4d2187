// Command kingcup-shapecheck reports code that leaves the shape of the code
// base. It exits with a non-zero status if it found anything.
//
//	go run ./cmd/kingcup-shapecheck -shapeskip.known=KNOWN-RED.txt ./...
package main

import (
	"golang.org/x/tools/go/analysis/multichecker"

	"kingcupcourse/internal/shapecheck"
)

func main() { multichecker.Main(shapecheck.Analyzers...) }
