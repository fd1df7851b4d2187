package prefix

import "testing"

func TestCacheRemembersTheLongestPrefix(t *testing.T) {
	c := NewCache(3)
	prompt := []string{"1", "12", "123", "1234"}
	for _, block := range prompt[:3] {
		c.Stored(block)
	}
	if got := c.Tokens(prompt); got != 3*BlockTokens {
		t.Fatalf("%d tokens", got)
	}
	c.Evicted("123")
	if got := c.Tokens(prompt); got != 2*BlockTokens {
		t.Fatalf("%d tokens after the eviction", got)
	}
	c.Stored("other")
	c.Stored("more") // "1" goes, as the oldest
	if got := c.Tokens([]string{"1"}); got != 0 {
		t.Fatalf("%d tokens of a forgotten block", got)
	}
	c.Reset()
	if c.Tokens(prompt) != 0 {
		t.Fatal("not empty after the reset")
	}
}
