package prefix

import "testing"

func TestCachedTokensOfTheLongestPrefix(t *testing.T) {
	c := NewCache(3)
	prompt := []string{"1", "12", "123", "1234"}
	for _, block := range prompt[:3] {
		c.Add(block)
	}
	if got := c.CachedTokens(prompt); got != 3*BlockTokens {
		t.Fatalf("%d tokens", got)
	}
	c.Remove("123")
	if got := c.CachedTokens(prompt); got != 2*BlockTokens {
		t.Fatalf("%d tokens after the eviction", got)
	}
	c.Add("other")
	c.Add("more") // evicts "1", the oldest block
	if got := c.CachedTokens([]string{"1"}); got != 0 {
		t.Fatalf("%d tokens of an evicted block", got)
	}
	c.Reset()
	if c.CachedTokens(prompt) != 0 {
		t.Fatal("not empty after the reset")
	}
}
