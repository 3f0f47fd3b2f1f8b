package masticmeasure

import (
	"container/list"

	"masticladder/masticprompt"
)

// lru is a cache of pieces bounded in tokens.
type lru struct {
	capacity, used int64
	// order holds masticprompt.Piece values, the most recently used first.
	order *list.List
	items map[masticprompt.PieceID]*list.Element
}

func newLRU(capacity int64) *lru {
	return &lru{capacity: capacity, order: list.New(), items: map[masticprompt.PieceID]*list.Element{}}
}

func (c *lru) has(id masticprompt.PieceID) bool {
	_, ok := c.items[id]
	return ok
}

// prefix returns the number of leading pieces that are cached.
func (c *lru) prefix(pieces []masticprompt.Piece) int {
	for i, p := range pieces {
		if !c.has(p.ID) {
			return i
		}
	}
	return len(pieces)
}

// touch makes pieces the most recently used, the outermost last, so that the end of
// a prompt is evicted before its beginning.
func (c *lru) touch(pieces []masticprompt.Piece) {
	for i := len(pieces) - 1; i >= 0; i-- {
		if e, ok := c.items[pieces[i].ID]; ok {
			c.order.MoveToFront(e)
		}
	}
}

// add puts a piece into the cache and returns what was evicted for it.
func (c *lru) add(p masticprompt.Piece) []masticprompt.PieceID {
	if c.has(p.ID) {
		return nil
	}
	c.items[p.ID] = c.order.PushFront(p)
	c.used += p.Tokens
	var out []masticprompt.PieceID
	for c.used > c.capacity {
		e := c.order.Back()
		old := e.Value.(masticprompt.Piece)
		c.order.Remove(e)
		delete(c.items, old.ID)
		c.used -= old.Tokens
		out = append(out, old.ID)
	}
	return out
}
