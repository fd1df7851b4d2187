package skipped

import (
	"testing"

	"pgregory.net/rapid"
)

func TestPlain(t *testing.T) { t.Skip("planted") } // want `TestPlain is skipped without an entry`

func TestNested(t *testing.T) {
	t.Run("case", func(s *testing.T) { s.Skipf("planted") }) // want `TestNested is skipped`
}

func BenchmarkSkipped(b *testing.B) { b.SkipNow() } // want `BenchmarkSkipped is skipped`

func helper(tb testing.TB) { tb.SkipNow() } // want `helper is skipped`

func TestKnown(t *testing.T) { t.Skip("listed") }

func drawn(t *rapid.T) { t.Skip("a drawn case is discarded") }
