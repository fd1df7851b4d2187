package prefix

import "testing"

func TestCachedTokensOfTheLongestPrefix(t *testing.T) {
	c := NewCache(3)
	prompt := []string{"1", "12", "123", "1234"}
	for _, block := range prompt[:3] {
		c.Add(block)
	}
	if got := c.CachedTokens(prompt); got != 3*BlockTokens {
		t.Fatalf("got %d cached tokens, want those of three blocks", got)
	}
	c.Remove("123")
	if got := c.CachedTokens(prompt); got != 2*BlockTokens {
		t.Fatalf("got %d cached tokens after the removal of a block, want those of two", got)
	}
	c.Add("other")
	c.Add("more") // evicts "1", the oldest block
	if got := c.CachedTokens([]string{"1"}); got != 0 {
		t.Fatalf("got %d cached tokens of an evicted block, want none", got)
	}
	c.Reset()
	if c.CachedTokens(prompt) != 0 {
		t.Fatal("the cache is not empty after the reset")
	}
}
