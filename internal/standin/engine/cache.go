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

// blocksOf returns the hash of each prefix of the prompt whose length is a
// multiple of blockBytes, the shortest first.
func blocksOf(prompt string) []uint64 {
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
	// pins is how many running requests use the block.
	pins int
	// idle is the place in the list of blocks without pins.
	idle *list.Element
}

// cache is the memory of an engine: blocks that can be shared, and the
// private memory of running requests. Blocks without pins are evicted when
// memory is needed, the least recently used first.
type cache struct {
	capacity int
	private  int
	pinned   int
	blocks   map[uint64]*block
	// idle has the most recently used block at its front.
	idle *list.List
	log  *eventLog
}

func newCache(capacity int, log *eventLog) *cache {
	return &cache{capacity: capacity, blocks: map[uint64]*block{}, idle: list.New(), log: log}
}

// free is the memory that running requests do not use, in tokens.
func (c *cache) free() int { return c.capacity - c.private - c.pinned*blockTokens }

// unused is the memory that neither requests nor idle blocks use, in tokens.
func (c *cache) unused() int { return c.capacity - c.private - len(c.blocks)*blockTokens }

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
		r.pins = append(r.pins, found)
	}
	cached := len(r.pins) * blockTokens
	need := r.promptTokens - cached + r.total
	if need > c.free() {
		c.unpinAll(r)
		return false
	}
	for c.unused() < need {
		c.evict()
	}
	c.private += need
	r.private = need
	r.charged = max(1, r.promptTokens-cached)
	r.prefillLeft = float64(r.charged)
	return true
}

// store makes shared blocks of the prefilled prompt.
func (c *cache) store(r *run) {
	for _, hash := range r.blocks[len(r.pins):] {
		stored, ok := c.blocks[hash]
		if !ok {
			stored = &block{hash: hash}
			c.blocks[hash] = stored
			c.log.add(kindStored, hash)
		}
		c.private -= blockTokens
		r.private -= blockTokens
		c.pin(stored)
		r.pins = append(r.pins, stored)
	}
}

// release gives back all that the run holds.
func (c *cache) release(r *run) {
	c.private -= r.private
	r.private = 0
	c.unpinAll(r)
}

func (c *cache) pin(b *block) {
	if b.pins == 0 {
		c.pinned++
		if b.idle != nil {
			c.idle.Remove(b.idle)
			b.idle = nil
		}
	}
	b.pins++
}

// unpinAll unpins the longest prefix first, so that it is evicted first.
func (c *cache) unpinAll(r *run) {
	for i := len(r.pins) - 1; i >= 0; i-- {
		b := r.pins[i]
		b.pins--
		if b.pins == 0 {
			c.pinned--
			b.idle = c.idle.PushFront(b)
		}
	}
	r.pins = nil
}

func (c *cache) evict() {
	oldest := c.idle.Back()
	evicted := c.idle.Remove(oldest).(*block)
	delete(c.blocks, evicted.hash)
	c.log.add(kindEvicted, evicted.hash)
}
