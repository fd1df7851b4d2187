// Package prefix remembers which prompt prefixes an endpoint probably has in
// its cache. What it says is a hint: cache events come late and with gaps.
package prefix

import "container/list"

const (
	// BlockTokens is how many prompt tokens one cache block covers.
	BlockTokens = 64
	// DefaultBlocks is how many blocks are remembered for one endpoint.
	DefaultBlocks = 4096
)

// Cache is the guessed cache content of one endpoint, least recently used
// blocks forgotten first.
type Cache struct {
	capacity int
	blocks   map[string]*list.Element
	order    *list.List
}

// NewCache returns an empty cache that remembers at most capacity blocks.
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, blocks: map[string]*list.Element{}, order: list.New()}
}

// Add notes that the endpoint has the block.
func (c *Cache) Add(block string) {
	if e, ok := c.blocks[block]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[block] = c.order.PushFront(block)
	if c.order.Len() > c.capacity {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(string))
	}
}

// Remove notes that the endpoint no longer has the block.
func (c *Cache) Remove(block string) {
	if e, ok := c.blocks[block]; ok {
		c.order.Remove(e)
		delete(c.blocks, block)
	}
}

// Reset forgets everything, for example when the version changed.
func (c *Cache) Reset() {
	clear(c.blocks)
	c.order.Init()
}

// CachedTokens returns how many tokens of a prompt that begins with the blocks,
// shortest first, are probably cached.
func (c *Cache) CachedTokens(blocks []string) int {
	for i := len(blocks) - 1; i >= 0; i-- {
		if _, ok := c.blocks[blocks[i]]; ok {
			return (i + 1) * BlockTokens
		}
	}
	return 0
}
