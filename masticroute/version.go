package masticroute

import (
	"strconv"
	"time"
)

// oldWeightsCost is what an answer made on older weights costs beside one on the newest, as
// waiting: callers accept a little waiting for the newest weights, not a late answer.
const oldWeightsCost = 250 * time.Millisecond

// old reports whether the pool's weights are older than the newest that q asks for.
func (p *pool) old(q *Query) bool { return q.Newest > 0 && p.number() < q.Newest }

// number returns the pool's version as a number, zero where it is none.
func (p *pool) number() int64 {
	n, err := strconv.ParseInt(p.version, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
