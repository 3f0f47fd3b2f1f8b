package masticroute

import (
	"strconv"
	"time"
)

// oldWeightsCost is what an answer made on older weights costs beside one on the newest, as
// waiting: callers accept a little waiting for the newest weights, not a late answer.
const oldWeightsCost = 250 * time.Millisecond

// NamedVersion is a version of the weights with the time from when on no request may begin
// on an older one.
type NamedVersion struct {
	Version  int64
	Deadline time.Time
}

// old reports whether the pool's weights are older than the newest that q asks for.
func (p *pool) old(q *Query) bool {
	return len(q.Versions) > 0 && p.number() < q.Versions[len(q.Versions)-1].Version
}

// tooOld reports whether no request may begin on the pool's weights at the given time.
func (p *pool) tooOld(at time.Time, q *Query) bool {
	for _, v := range q.Versions {
		if v.Version > p.number() && !at.Before(v.Deadline) {
			return true
		}
	}
	return false
}

// number returns the pool's version as a number, zero where it is none.
func (p *pool) number() int64 {
	n, err := strconv.ParseInt(p.version, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
