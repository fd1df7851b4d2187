package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/standin/tokens"
)

const (
	// blockBytes is the number of bytes of a prompt in a cache block.
	blockBytes = 256
	// blockTokens is the cache memory that a block takes, in tokens.
	blockTokens = blockBytes / tokens.BytesPerToken
)

// blockHashes returns the hash of each prefix of the prompt whose length is a
// multiple of blockBytes, shortest first.
func blockHashes(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/blockBytes)
	digest := xxhash.New()
	for len(prompt) >= blockBytes {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(prompt[:blockBytes])
		blocks = append(blocks, digest.Sum64())
		prompt = prompt[blockBytes:]
	}
	return blocks
}

// block is a cached part of a prompt.
type block struct {
	hash uint64
	// refCount is the number of running requests that use the block.
	refCount int
	// lruElement is the element in the list of idle blocks, nil while the
	// block is pinned.
	lruElement *list.Element
}

// cache is the prefix cache of an engine. Its capacity is split into shared
// blocks and the private memory of running requests. Blocks that no running
// request uses are evicted when memory is needed, least recently used first.
type cache struct {
	capacity      int
	privateTokens int
	pinnedBlocks  int
	blocks        map[uint64]*block
	// idleBlocks holds the unpinned blocks, most recently used first.
	idleBlocks *list.List
	events     *eventLog
}

func newCache(capacity int, events *eventLog) *cache {
	return &cache{capacity: capacity, blocks: map[uint64]*block{}, idleBlocks: list.New(), events: events}
}

// freeTokens returns the memory that running requests do not use, in tokens.
func (c *cache) freeTokens() int { return c.capacity - c.privateTokens - c.pinnedBlocks*blockTokens }

// unusedTokens returns the memory that neither running requests nor idle blocks
// use, in tokens.
func (c *cache) unusedTokens() int { return c.capacity - c.privateTokens - len(c.blocks)*blockTokens }

// reserve pins the cached prefix of the run and allocates memory for the rest.
// It reports whether there was enough memory. If not, only the LRU order has
// changed.
func (c *cache) reserve(r *run) bool {
	for _, hash := range r.blocks {
		found, ok := c.blocks[hash]
		if !ok {
			break
		}
		c.pin(found)
		r.pinnedBlocks = append(r.pinnedBlocks, found)
	}
	cached := len(r.pinnedBlocks) * blockTokens
	needed := r.promptTokens - cached + r.outputTokens
	if needed > c.freeTokens() {
		c.unpinRun(r)
		return false
	}
	for c.unusedTokens() < needed {
		c.evict()
	}
	c.privateTokens += needed
	r.privateTokens = needed
	r.prefillTokens = max(1, r.promptTokens-cached)
	r.prefillLeft = float64(r.prefillTokens)
	return true
}

// storePrompt turns the memory of the prefilled prompt into shared blocks.
func (c *cache) storePrompt(r *run) {
	for _, hash := range r.blocks[len(r.pinnedBlocks):] {
		stored, ok := c.blocks[hash]
		if !ok {
			stored = &block{hash: hash}
			c.blocks[hash] = stored
			c.events.add(kindStored, hash)
		}
		c.privateTokens -= blockTokens
		r.privateTokens -= blockTokens
		c.pin(stored)
		r.pinnedBlocks = append(r.pinnedBlocks, stored)
	}
}

// release frees all memory that the run holds.
func (c *cache) release(r *run) {
	c.privateTokens -= r.privateTokens
	r.privateTokens = 0
	c.unpinRun(r)
}

func (c *cache) pin(b *block) {
	if b.refCount == 0 {
		c.pinnedBlocks++
		if b.lruElement != nil {
			c.idleBlocks.Remove(b.lruElement)
			b.lruElement = nil
		}
	}
	b.refCount++
}

// unpinRun unpins the blocks of a run. The longest prefix comes first, so that
// it is also evicted first.
func (c *cache) unpinRun(r *run) {
	for i := len(r.pinnedBlocks) - 1; i >= 0; i-- {
		b := r.pinnedBlocks[i]
		b.refCount--
		if b.refCount == 0 {
			c.pinnedBlocks--
			b.lruElement = c.idleBlocks.PushFront(b)
		}
	}
	r.pinnedBlocks = nil
}

func (c *cache) evict() {
	oldest := c.idleBlocks.Back()
	evicted := c.idleBlocks.Remove(oldest).(*block)
	delete(c.blocks, evicted.hash)
	c.events.add(kindEvicted, evicted.hash)
}
