package masticquota

import "slices"

const (
	// maxCharges limits the charges of a bucket that can still be credited; older ones stay charged.
	maxCharges = 4096
	// maxLowWaterMarks limits the low-water marks of a bucket; the oldest two are merged to the
	// lower value.
	maxLowWaterMarks = 256
)

// charge is a grant that was charged to the backlog.
type charge struct {
	grantID  uint64
	sequence uint64
	tokens   int64
}

// lowWaterMark is the backlog just before a charge.
type lowWaterMark struct {
	sequence uint64
	backlog  int64
}

// credits reverses charges of tokens that were spent and later settled. Reversing a charge of n
// tokens lowers the backlog by min(n, lowest backlog since the charge). If that lowest backlog is
// less than n, the backlog would have reached zero without the charge, and an empty backlog regains
// nothing; so the rest of n is not subtracted.
type credits struct {
	sequence      uint64
	charges       []charge
	lowWaterMarks []lowWaterMark
}

// recordCharge records a charge; backlog is the value before it.
func (c *credits) recordCharge(grantID uint64, tokens, backlog int64) {
	c.sequence++
	for len(c.lowWaterMarks) > 0 && c.lowWaterMarks[len(c.lowWaterMarks)-1].backlog >= backlog {
		c.lowWaterMarks = c.lowWaterMarks[:len(c.lowWaterMarks)-1]
	}
	c.lowWaterMarks = append(c.lowWaterMarks, lowWaterMark{sequence: c.sequence, backlog: backlog})
	if len(c.lowWaterMarks) > maxLowWaterMarks {
		c.lowWaterMarks[1].backlog = c.lowWaterMarks[0].backlog
		c.lowWaterMarks = slices.Delete(c.lowWaterMarks, 0, 1)
	}
	if tokens == 0 {
		return
	}
	c.charges = append(c.charges, charge{grantID: grantID, sequence: c.sequence, tokens: tokens})
	if len(c.charges) > maxCharges {
		c.charges = slices.Delete(c.charges, 0, maxCharges/4)
	}
}

// credit reverses tokens of a grant's charge and returns by how much the backlog falls.
func (c *credits) credit(grantID uint64, tokens, backlog int64) int64 {
	i := slices.IndexFunc(c.charges, func(h charge) bool { return h.grantID == grantID })
	if i < 0 {
		return 0
	}
	h := &c.charges[i]
	tokens = min(tokens, h.tokens)
	h.tokens -= tokens
	reduction := min(tokens, backlog)
	for j := range c.lowWaterMarks {
		if c.lowWaterMarks[j].sequence <= h.sequence {
			continue
		}
		reduction = min(reduction, c.lowWaterMarks[j].backlog)
		c.lowWaterMarks[j].backlog = max(0, c.lowWaterMarks[j].backlog-tokens)
	}
	return reduction
}

// recordSettledTokens stores the sum of unused tokens of a grant. When the map is too large, it
// removes the sums of grants that can no longer be credited.
func (b *bucket) recordSettledTokens(id uint64, tokens int64) {
	if len(b.settledTokens) > 2*maxCharges {
		known := make(map[uint64]int64, maxCharges)
		for _, h := range b.credits.charges {
			known[h.grantID] = b.settledTokens[h.grantID]
		}
		for _, g := range b.grants {
			known[g.id] = b.settledTokens[g.id]
		}
		b.settledTokens = known
	}
	b.settledTokens[id] = tokens
}
