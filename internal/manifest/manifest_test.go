package manifest

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"

	"kingcupcourse/internal/core"
)

func readTestdata(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func parseValid(t *testing.T) *Manifest {
	t.Helper()
	m, list := Parse(readTestdata(t, "good.json"))
	if len(list) > 0 {
		t.Fatal(list)
	}
	return m
}

func TestInvalidManifestReportsAllFindings(t *testing.T) {
	m, list := Parse(readTestdata(t, "faulty.json"))
	if m != nil {
		t.Fatal("Parse returned an invalid manifest")
	}
	goldie.New(t).Assert(t, "faulty", []byte(list.InFile("faulty.json").Error()+"\n"))
}

func TestParseFillsDefaults(t *testing.T) {
	m := parseValid(t)
	account, _ := m.Account("registrar")
	if m.Tiers != 3 || account.HomeRegion != "pk-north" || account.Weight != 1 || account.MaxTier != 1 {
		t.Errorf("account defaults: %+v", account)
	}
	route, _ := m.Route("any-model")
	if route.Tier != 3 || route.DeadlineMS != DefaultDeadlineMS || route.MaxBodyBytes != DefaultMaxBodyBytes {
		t.Errorf("route defaults: %+v", route)
	}
	if e, _ := m.Endpoint("w2"); e.PrefillRate != DefaultPrefillRate || e.DecodeRate != 20 || e.Pool != "citations" {
		t.Errorf("endpoint: %+v", e)
	}
}

func TestMatchRoute(t *testing.T) {
	m := parseValid(t)
	for _, c := range []struct{ method, path, model, want string }{
		{"POST", "/v1/completions", "citation", "draft"},
		{"POST", "/v1/completions", "other", "any-model"},
		{"POST", "/v1/completions/x", "", ""},
		{"POST", "/v1/entries", "", "file"},
		{"GET", "/v1/balances/7", "", "read"},
		{"GET", "/v1", "", ""},
		{"GET", "/v1/../v1/entries", "", ""},
		{"GET", "/v1//entries", "", ""},
	} {
		route, ok := m.MatchRoute(c.method, c.path, c.model)
		if got := nameOf(route); got != c.want || ok != (c.want != "") {
			t.Errorf("%s %s %q: got route %q, want %q", c.method, c.path, c.model, got, c.want)
		}
	}
}

func nameOf(r *Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

func TestLookups(t *testing.T) {
	m := parseValid(t)
	account, ok := m.AccountByKeyHash("bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb")
	if !ok || account.Core() != (core.ClientAccount{Name: "clerks", MaxTier: 2, Weight: 0.5, HomeRegion: "pk-north"}) {
		t.Errorf("account %+v", account)
	}
	if _, ok := m.AccountByKeyHash("bb"); ok {
		t.Error("found an account for an unknown key")
	}
	if pool, ok := m.CorePool("citations"); !ok || len(pool.Endpoints) != 2 || pool.Kind != core.KindModel {
		t.Errorf("pool %+v", pool)
	}
	if region, ok := m.RegionOf("c"); !ok || region != "pk-north" {
		t.Errorf("region %q", region)
	}
}

func TestMoveToBadVersionIsRejected(t *testing.T) {
	m := parseValid(t)
	if list := CheckBadVersions(m, nil, nil); len(list) > 0 {
		t.Fatal(list)
	}
	list := CheckBadVersions(m, nil, map[core.EndpointVersion]bool{{Pool: "citations", Version: "v2"}: true})
	if len(list) != 1 || list[0].Location != "moves[0].to_version" {
		t.Fatalf("got %v", list)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(readTestdata(f, "good.json"))
	f.Add(readTestdata(f, "faulty.json"))
	f.Add([]byte(`{"regions":null,"pools":[null],"routes":[{}],"moves":[[]]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		m, list := Parse(text)
		if (m == nil) == (len(list) == 0) {
			t.Fatalf("manifest %v with findings %v", m, list)
		}
		if m != nil {
			m.MatchRoute("GET", "/", "")
		}
	})
}
