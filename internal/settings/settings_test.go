package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validSettings = `{
  "host": "h1", "region": "pk-north", "availability_zone": "a",
  "control": "127.0.0.1:7001", "admin": "127.0.0.1:7002",
  "peers": ["127.0.0.1:7003"], "platform": "http://127.0.0.1:9000",
  "callers": "127.0.0.1:7004"
}`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadFillsDefaults(t *testing.T) {
	s, err := Load[Entry](writeFile(t, validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.DrainMS != DefaultDrainMS || s.Log.Level != "info" || s.MaxRequests != DefaultMaxRequests {
		t.Fatalf("defaults were not set: %+v", s)
	}
}

func TestLoadReportsAllFindingsTogether(t *testing.T) {
	path := writeFile(t, `{
  "host": "", "region": 7, "Control": "x",
  "admin": "localhost:80", "peers": ["127.0.0.1:1", "0.0.0.0:2"],
  "platform": "ftp://127.0.0.1", "callers": "127.0.0.1:0",
  "log": {"level": "loud", "colour": true},
  "fallback_fraction": 2
}`)
	_, err := Load[Entry](path)
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	if strings.Contains(err.Error(), "control: must") {
		t.Errorf("a missing field is reported twice:\n%v", err)
	}
	for _, want := range []string{
		path + ":2:11: host: must not be empty",
		":2:25: region: must be a string",
		":2:28: Control: unknown field; did you mean control?",
		":1:1: control: missing",
		":1:1: availability_zone: missing",
		":3:12: admin: must be an IP address with port",
		":3:53: peers[1]: must be an address that peers can reach",
		"platform: must be an http or https URL",
		"callers: must be an IP address with port",
		"log.level: must be one of",
		":5:28: log.colour: unknown field",
		"fallback_fraction: must be from 0 to 1",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no finding %q in\n%v", want, err)
		}
	}
}

// Two regions of one zone would leave it open where restricted requests may go.
func TestZonesWithTwoRegionsAreReported(t *testing.T) {
	_, err := Load[Gateway](writeFile(t, `{"host": "h", "region": "r", "availability_zone": "a",
  "zones": [{"name": "a", "region": "s"}, {"name": "b", "region": "s"}, {"name": "b", "region": "t"}, {"name": "", "region": "s"}]}`))
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, want := range []string{
		`zones[0].region: is "s", but the zone a is in "r"`,
		`zones[2].region: is "t", but the zone b is in "s"`,
		"zones[3].name: must not be empty",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no finding %q in\n%v", want, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"log":[{}],"peers":{}}`))
	f.Add([]byte(`{"host":"a"`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, list := Parse[Entry](text)
		if (s == nil) == (len(list) == 0) {
			t.Fatalf("settings %v with findings %v", s, list)
		}
	})
}

const gatewaySettings = `{"host": "h", "region": "r", "availability_zone": "a", "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
  "peers": "127.0.0.1:3", "store": "http://127.0.0.1:4", "limit_overage": 0.1, "limit_slack": 0,
  "repeat_share": 0.2, "repeat_burst": 54, "expose_share": 0.1, "expose_free": 50.5,
  %s}`

// Guards against times that are refused or cut short since they are no whole number of
// milliseconds, in either unit.
func TestTimesInSecondsAndMilliseconds(t *testing.T) {
	for field, want := range map[string]time.Duration{
		`"grace_s": 7.5`:                         7500 * time.Millisecond,
		`"grace_ms": 7500.25`:                    7500250 * time.Microsecond,
		`"grace_s": 7.5, "limit_window_ms": 8e3`: 7500 * time.Millisecond,
	} {
		s, err := Load[Gateway](writeFile(t, fmt.Sprintf(gatewaySettings, field)))
		if err != nil {
			t.Errorf("%s: %v", field, err)
			continue
		}
		if s.Grace() != want || s.ExposeFree.Int() != 50 {
			t.Errorf("%s: got %v and %d free requests", field, s.Grace(), s.ExposeFree.Int())
		}
	}
}

// Guards against figures that overflow when they are converted, and against a time that is
// given twice.
func TestImpossibleFiguresAreReported(t *testing.T) {
	_, err := Load[Gateway](writeFile(t, fmt.Sprintf(gatewaySettings,
		`"grace_s": 1e300, "limit_window_s": -1, "limit_window_ms": 8000, "memory_mb": 1e12, "max_files": 1e400`)))
	if err == nil {
		t.Fatal("impossible figures were accepted")
	}
	for _, want := range []string{
		"grace_s: must be from 0 to 9e+09", "limit_window_s: must be from 0 to 9e+09", "memory_mb: must be from 0 to 9e+09",
		"max_files: must be a number", "limit_window_ms: must not be given beside limit_window_s",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no finding %q in\n%v", want, err)
		}
	}
}
