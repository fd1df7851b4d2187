package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/standin/tokens"
)

const (
	// blockBytes is how many bytes of a prompt a cache block covers.
	blockBytes = 256
	// blockTokens is how much cache memory a block takes.
	blockTokens = blockBytes / tokens.BytesPerToken
)

// blockHashes returns the hash of each prefix of the prompt whose length is a
// multiple of blockBytes, the shortest first.
func blockHashes(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/blockBytes)
	digest := xxhash.New()
	for len(prompt) >= blockBytes {
		// Writing to a digest does not fail.
		_, _ = digest.WriteString(prompt[:blockBytes])
		blocks = append(blocks, digest.Sum64())
		prompt = prompt[blockBytes:]
	}
	return blocks
}

// block is a cached part of a prompt.
type block struct {
	hash uint64
	// refCount is how many running requests use the block.
	refCount int
	// lruElement is the place in the list of blocks without pins.
	lruElement *list.Element
}

// cache is the memory of an engine: blocks that can be shared, and the
// private memory of running requests. Blocks without pins are evicted when
// memory is needed, the least recently used first.
type cache struct {
	capacity      int
	privateTokens int
	pinnedBlocks  int
	blocks        map[uint64]*block
	// idleBlocks has the most recently used block at its front.
	idleBlocks *list.List
	events     *eventLog
}

func newCache(capacity int, log *eventLog) *cache {
	return &cache{capacity: capacity, blocks: map[uint64]*block{}, idleBlocks: list.New(), events: log}
}

// freeTokens is the memory that running requests do not use, in tokens.
func (c *cache) freeTokens() int { return c.capacity - c.privateTokens - c.pinnedBlocks*blockTokens }

// unusedTokens is the memory that neither requests nor idle blocks use, in tokens.
func (c *cache) unusedTokens() int { return c.capacity - c.privateTokens - len(c.blocks)*blockTokens }

// reserve pins the cached prefix of the run and takes memory for the rest.
// It tells whether there was enough memory; if not, nothing has changed but
// the order of use.
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
	need := r.promptTokens - cached + r.outputTokens
	if need > c.freeTokens() {
		c.unpinAll(r)
		return false
	}
	for c.unusedTokens() < need {
		c.evict()
	}
	c.privateTokens += need
	r.privateTokens = need
	r.prefillTokens = max(1, r.promptTokens-cached)
	r.prefillLeft = float64(r.prefillTokens)
	return true
}

// storePrompt makes shared blocks of the prefilled prompt.
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

// release gives back all that the run holds.
func (c *cache) release(r *run) {
	c.privateTokens -= r.privateTokens
	r.privateTokens = 0
	c.unpinAll(r)
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

// unpinAll unpins the longest prefix first, so that it is evicted first.
func (c *cache) unpinAll(r *run) {
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
