// Package prefix estimates which prompt prefixes an endpoint has in its cache.
// The result is a hint: cache events arrive late and some are lost.
package prefix

import "container/list"

const (
	// BlockTokens is how many prompt tokens one cache block covers.
	BlockTokens = 64
	// DefaultBlocks is how many blocks are kept for one endpoint.
	DefaultBlocks = 4096
)

// Cache is the estimated cache content of one endpoint. It evicts the least
// recently used blocks.
type Cache struct {
	capacity int
	blocks   map[string]*list.Element
	order    *list.List
}

// NewCache returns an empty cache of at most capacity blocks.
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, blocks: map[string]*list.Element{}, order: list.New()}
}

// Add records that the endpoint has the block.
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

// Remove records that the endpoint no longer has the block.
func (c *Cache) Remove(block string) {
	if e, ok := c.blocks[block]; ok {
		c.order.Remove(e)
		delete(c.blocks, block)
	}
}

// Reset drops all blocks, for example when the version changed.
func (c *Cache) Reset() {
	clear(c.blocks)
	c.order.Init()
}

// CachedTokens returns how many tokens of a prompt are probably cached. The
// blocks are the prefixes of the prompt, shortest first.
func (c *Cache) CachedTokens(blocks []string) int {
	for i := len(blocks) - 1; i >= 0; i-- {
		if _, ok := c.blocks[blocks[i]]; ok {
			return (i + 1) * BlockTokens
		}
	}
	return 0
}
