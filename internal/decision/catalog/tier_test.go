package catalog

import "testing"

func TestTierFollowsTheAccountThenTheRoute(t *testing.T) {
	c := &Configuration{
		Routes: []Route{{Name: "first", Priority: 0}, {Name: "last", Priority: 2}},
		Accounts: []Account{{Name: "important", HasPriority: true, Priority: 0},
			{Name: "ordinary", HasPriority: true, Priority: 1}, {Name: "unranked"}},
	}
	c.BuildIndex()
	for _, test := range []struct {
		route, account, want int
	}{{0, 0, 0}, {1, 0, 0}, {0, 1, 0}, {1, 1, 2}, {1, 2, 2}} {
		if got := c.Tier(&c.Routes[test.route], &c.Accounts[test.account]); got != test.want {
			t.Errorf("%s of %s: tier %d, want %d", c.Routes[test.route].Name, c.Accounts[test.account].Name, got, test.want)
		}
	}
	if got := c.Tier(&c.Routes[1], nil); got != 2 {
		t.Errorf("without an account: tier %d, want 2", got)
	}
}
