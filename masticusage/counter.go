package masticusage

import (
	"maps"
	"slices"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

// MaxRows bounds the rows of one daemon incarnation that have a profile. Usage beyond it is
// counted in rows without a profile.
const MaxRows = 16_384

// Counter counts the usage of one daemon incarnation. It is not safe for concurrent use.
type Counter struct {
	host, incarnation string
	sequence          uint64
	acknowledged      uint64
	rows              map[Row]reportedCounts[Counts]
	served            map[ServedRow]reportedCounts[Served]
}

// reportedCounts are counters and the sequence number of the first report that contains
// their last change.
type reportedCounts[T any] struct {
	counts          T
	changedInReport uint64
}

// NewCounter returns the counter of a daemon incarnation.
func NewCounter(host, incarnation string) *Counter {
	return &Counter{
		host: host, incarnation: incarnation,
		rows: make(map[Row]reportedCounts[Counts]), served: make(map[ServedRow]reportedCounts[Served]),
	}
}

// Add counts the usage of one request, or its refusal.
func (c *Counter) Add(u masticcall.UsageRecord) {
	r := Row{u.Workspace, u.Profile, u.Model, u.ServerOwner}
	if _, ok := c.rows[r]; !ok && len(c.rows) >= MaxRows {
		r.Profile = ""
	}
	c.rows[r] = reportedCounts[Counts]{counts: c.rows[r].counts.add(countsOf(u)), changedInReport: c.sequence + 1}
	if u.Refusal != "" {
		return
	}
	s := ServedRow{u.ServerOwner, u.Model}
	one := Served{Requests: 1, InputTokens: u.InputTokens, OutputTokens: u.OutputTokens}
	c.served[s] = reportedCounts[Served]{counts: c.served[s].counts.combine(one, sum), changedInReport: c.sequence + 1}
}

func countsOf(u masticcall.UsageRecord) Counts {
	if u.Refusal != "" {
		return Counts{Refusals: map[string]int64{u.Refusal: 1}}
	}
	c := Counts{
		Requests: 1, InputTokens: u.InputTokens, OutputTokens: u.OutputTokens,
		CachedTokens: u.CachedTokens, RecomputedTokens: u.RecomputedTokens,
	}
	if u.Order {
		c.Orders = 1
	}
	return c
}

// Report returns the rows that changed since the last acknowledged report, or nil if none
// did.
func (c *Counter) Report() *masticproto.UsageReport {
	out := &masticproto.UsageReport{Host: c.host, Incarnation: c.incarnation, Sequence: c.sequence + 1}
	for _, r := range slices.SortedFunc(maps.Keys(c.rows), compareRows) {
		if n := c.rows[r]; n.changedInReport > c.acknowledged {
			out.Counters = append(out.Counters, encodeCounts(r, n.counts))
		}
	}
	for _, r := range slices.SortedFunc(maps.Keys(c.served), compareServedRows) {
		if n := c.served[r]; n.changedInReport > c.acknowledged {
			out.Served = append(out.Served, encodeServed(r, n.counts))
		}
	}
	if len(out.Counters)+len(out.Served) == 0 {
		return nil
	}
	c.sequence++
	return out
}

// Acknowledge marks the report with the given sequence number and all earlier ones as
// received, so that their rows are not sent again.
func (c *Counter) Acknowledge(sequence uint64) {
	c.acknowledged = max(c.acknowledged, min(sequence, c.sequence))
}
