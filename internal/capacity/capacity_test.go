package capacity

import (
	"math"
	"os"
	"path/filepath"
	"testing"
)

func TestFitRecoversLine(t *testing.T) {
	line := Fit([]Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}})
	if math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.Intercept-3) > 1e-9 || line.Residual > 1e-9 || line.Points != 4 {
		t.Errorf("got %+v", line)
	}
	if line.At(10) != 23 {
		t.Errorf("at 10: %v", line.At(10))
	}
	if flat := Fit([]Point{{1, 2}, {1, 4}}); flat.Slope != 0 || flat.Intercept != 3 || flat.Residual != 1 {
		t.Errorf("single x: %+v", flat)
	}
}

func TestSeriesRoundTrip(t *testing.T) {
	var s Series
	s.Add("a", 1, 2)
	s.Add("a", 2, 4.25)
	s.Add("b", 1, 0)
	path := filepath.Join(t.TempDir(), "s.csv")
	if err := s.Write(path); err != nil {
		t.Fatal(err)
	}
	got, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Metrics) != 2 || len(got.Points("a")) != 2 || got.Points("a")[1] != (Point{2, 4.25}) {
		t.Errorf("got %+v", got)
	}
	if err := os.WriteFile(path, []byte("metric,x,y\na,one,2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); err == nil {
		t.Error("a value that is not a number was accepted")
	}
}

func TestReplaceChangesOnlyItsSection(t *testing.T) {
	got, ok := Replace("a\n<!-- t -->\nold\n<!-- /t -->\nb", "t", "new\n")
	if !ok || got != "a\n<!-- t -->\nnew\n<!-- /t -->\nb" {
		t.Errorf("got %q", got)
	}
	if _, ok := Replace("a", "t", "new"); ok {
		t.Error("replaced without markers")
	}
}
