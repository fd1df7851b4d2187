package decision

import (
	"os"
	"testing"
)

func TestLate(*testing.T) { _ = os.Args }
