package entry

import "testing"

func TestStart(t *testing.T) { t.Skip("planted") }
