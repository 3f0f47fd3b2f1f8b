package masticmeasure

import (
	"container/list"

	"masticladder/masticprompt"
)

// lru is an LRU cache of pieces with a capacity in tokens.
type lru struct {
	capacity, used int64
	// recency holds masticprompt.Piece values, the most recently used first.
	recency *list.List
	items   map[masticprompt.PieceID]*list.Element
}

func newLRU(capacity int64) *lru {
	return &lru{capacity: capacity, recency: list.New(), items: map[masticprompt.PieceID]*list.Element{}}
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

// touch marks pieces as most recently used, in reverse order, so that the end of a
// prompt is evicted before its beginning.
func (c *lru) touch(pieces []masticprompt.Piece) {
	for i := len(pieces) - 1; i >= 0; i-- {
		if e, ok := c.items[pieces[i].ID]; ok {
			c.recency.MoveToFront(e)
		}
	}
}

// add inserts a piece and returns the pieces evicted for it.
func (c *lru) add(p masticprompt.Piece) []masticprompt.PieceID {
	if c.has(p.ID) {
		return nil
	}
	c.items[p.ID] = c.recency.PushFront(p)
	c.used += p.Tokens
	var out []masticprompt.PieceID
	for c.used > c.capacity {
		e := c.recency.Back()
		old := e.Value.(masticprompt.Piece)
		c.recency.Remove(e)
		delete(c.items, old.ID)
		c.used -= old.Tokens
		out = append(out, old.ID)
	}
	return out
}
