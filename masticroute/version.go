package masticroute

import (
	"strconv"
	"time"
)

// outdatedWeightsCost is the cost of an answer from older weights compared with the newest, as
// waiting time: callers accept a little waiting for the newest weights, but not a late answer.
const outdatedWeightsCost = 250 * time.Millisecond

// AnnouncedVersion is an announced version of the weights with the time from which no request may
// start on an older one.
type AnnouncedVersion struct {
	Version  int64
	Deadline time.Time
}

// outdated reports whether the pool's weights are older than the newest version in q.
func (p *pool) outdated(q *Query) bool {
	return len(q.Versions) > 0 && p.versionNumber() < q.Versions[len(q.Versions)-1].Version
}

// pastDeadline reports whether no request may start on the pool's weights at the given time.
func (p *pool) pastDeadline(at time.Time, q *Query) bool {
	for _, v := range q.Versions {
		if v.Version > p.versionNumber() && !at.Before(v.Deadline) {
			return true
		}
	}
	return false
}

// versionNumber returns the pool's version as a number, zero if it is not numeric.
func (p *pool) versionNumber() int64 {
	n, err := strconv.ParseInt(p.version, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
