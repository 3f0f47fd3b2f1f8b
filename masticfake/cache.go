package masticfake

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// prefixCache is an LRU set of chained block hashes.
type prefixCache struct {
	capacity int
	recency  *list.List
	blocks   map[uint64]*list.Element
	// onChange is called for every block that is stored or evicted.
	onChange func(kind string, block uint64)
}

func newPrefixCache(capacity int, onChange func(string, uint64)) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), blocks: make(map[uint64]*list.Element), onChange: onChange}
}

// lookUpAndStore looks up the blocks of the chain, stores the missing ones, and returns how many
// leading blocks were cached.
func (c *prefixCache) lookUpAndStore(chain []uint64) int {
	hits := 0
	for _, b := range chain {
		if _, ok := c.blocks[b]; !ok {
			break
		}
		hits++
	}
	for _, b := range chain {
		c.touch(b)
	}
	return hits
}

func (c *prefixCache) touch(b uint64) {
	if e, ok := c.blocks[b]; ok {
		c.recency.MoveToFront(e)
		return
	}
	c.blocks[b] = c.recency.PushFront(b)
	c.onChange("stored", b)
	if c.recency.Len() <= c.capacity {
		return
	}
	last := c.recency.Back()
	old := c.recency.Remove(last).(uint64)
	delete(c.blocks, old)
	c.onChange("evicted", old)
}

// blockHashes returns a hash for each complete block of a prompt. Each hash covers all blocks up to
// and including its own. An incomplete last block has no hash.
func blockHashes(salt, model, weights, text string, blockBytes int) []uint64 {
	var chain []uint64
	previous := xxhash.Sum64String(salt + "\x00" + model + "\x00" + weights)
	for len(text) >= blockBytes {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], previous)
		previous = xxhash.Sum64String(string(b[:]) + text[:blockBytes])
		chain = append(chain, previous)
		text = text[blockBytes:]
	}
	return chain
}
