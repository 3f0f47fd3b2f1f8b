package masticfake

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// prefixCache is an LRU set of chained block hashes.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	// changed is told of every block stored or evicted.
	changed func(kind string, block uint64)
}

func newPrefixCache(capacity int, changed func(string, uint64)) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element), changed: changed}
}

// use looks up the chain, stores what is missing, and returns how many leading blocks were there.
func (c *prefixCache) use(chain []uint64) int {
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
		c.order.MoveToFront(e)
		return
	}
	c.blocks[b] = c.order.PushFront(b)
	c.changed("stored", b)
	if c.order.Len() <= c.capacity {
		return
	}
	last := c.order.Back()
	old := c.order.Remove(last).(uint64)
	delete(c.blocks, old)
	c.changed("evicted", old)
}

// chainOf returns the hashes of a prompt's whole blocks, each over all before it.
func chainOf(salt, model, weights, text string, blockBytes int) []uint64 {
	var chain []uint64
	before := xxhash.Sum64String(salt + "\x00" + model + "\x00" + weights)
	for len(text) >= blockBytes {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], before)
		before = xxhash.Sum64String(string(b[:]) + text[:blockBytes])
		chain = append(chain, before)
		text = text[blockBytes:]
	}
	return chain
}
