package masticquota

import "slices"

const (
	// maxCharges bounds the charges of a bucket that can still be credited; older ones stay charged.
	maxCharges = 4096
	// maxLows bounds the low-water marks of a bucket; older ones are merged to the lower value.
	maxLows = 256
)

// charge is a grant that was charged to the backlog.
type charge struct {
	grantID uint64
	number  uint64
	tokens  int64
}

// low is the backlog just before a charge.
type low struct {
	number  uint64
	backlog int64
}

// credits undoes charges of tokens that were admitted and, as became known later, not used.
// Without a charge of n tokens the backlog would now be lower by n, but by no more than its
// lowest value since then, because an empty backlog regains nothing.
type credits struct {
	number  uint64
	charges []charge
	lows    []low
}

// note records a charge to a backlog that was at the given value before.
func (c *credits) note(grantID uint64, tokens, backlog int64) {
	c.number++
	for len(c.lows) > 0 && c.lows[len(c.lows)-1].backlog >= backlog {
		c.lows = c.lows[:len(c.lows)-1]
	}
	c.lows = append(c.lows, low{number: c.number, backlog: backlog})
	if len(c.lows) > maxLows {
		c.lows[1].backlog = c.lows[0].backlog
		c.lows = slices.Delete(c.lows, 0, 1)
	}
	if tokens == 0 {
		return
	}
	c.charges = append(c.charges, charge{grantID: grantID, number: c.number, tokens: tokens})
	if len(c.charges) > maxCharges {
		c.charges = slices.Delete(c.charges, 0, maxCharges/4)
	}
}

// credit returns by how much the backlog falls when tokens of a grant's charge are undone.
func (c *credits) credit(grantID uint64, tokens, backlog int64) int64 {
	i := slices.IndexFunc(c.charges, func(h charge) bool { return h.grantID == grantID })
	if i < 0 {
		return 0
	}
	h := &c.charges[i]
	tokens = min(tokens, h.tokens)
	h.tokens -= tokens
	least := min(tokens, backlog)
	for j := range c.lows {
		if c.lows[j].number <= h.number {
			continue
		}
		least = min(least, c.lows[j].backlog)
		c.lows[j].backlog = max(0, c.lows[j].backlog-tokens)
	}
	return least
}

// noteSettled keeps the sum given back of a grant, and forgets those of grants that can't
// be credited any more.
func (b *bucket) noteSettled(id uint64, tokens int64) {
	if len(b.settled) > 2*maxCharges {
		known := make(map[uint64]int64, maxCharges)
		for _, h := range b.credits.charges {
			known[h.grantID] = b.settled[h.grantID]
		}
		for _, g := range b.grants {
			known[g.id] = b.settled[g.id]
		}
		b.settled = known
	}
	b.settled[id] = tokens
}
