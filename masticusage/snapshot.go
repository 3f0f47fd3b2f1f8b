package masticusage

import (
	"cmp"
	"maps"
	"slices"

	"masticladder/masticproto"
)

// Snapshot returns all totals in wire form, in a deterministic order.
func (t *Totals) Snapshot() *masticproto.UsageSnapshot {
	out := &masticproto.UsageSnapshot{Closed: encodeCounterTable(daemonID{}, t.closed), ClosedDaemons: slices.Sorted(maps.Keys(t.closedDaemons))}
	daemons := slices.SortedFunc(maps.Keys(t.daemons), func(a, b daemonID) int {
		return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.incarnation, b.incarnation))
	})
	for _, d := range daemons {
		rows := encodeCounterTable(d, t.daemons[d])
		rows.Current = t.currentIncarnation[d.host] == d.incarnation
		out.Daemons = append(out.Daemons, rows)
	}
	return out
}

// Restore returns the totals of snapshot s.
func Restore(s *masticproto.UsageSnapshot) *Totals {
	t := NewTotals()
	t.closed = decodeCounterTable(s.GetClosed())
	for _, p := range s.GetDaemons() {
		d := daemonID{p.GetHost(), p.GetIncarnation()}
		t.daemons[d] = decodeCounterTable(p)
		if p.GetCurrent() {
			t.currentIncarnation[d.host] = d.incarnation
		}
	}
	for _, id := range s.GetClosedDaemons() {
		t.closedDaemons[id] = struct{}{}
	}
	return t
}

func encodeCounterTable(d daemonID, u *counterTable) *masticproto.UsageRows {
	out := &masticproto.UsageRows{
		Host: d.host, Incarnation: d.incarnation, Sequence: u.sequence, SupersededUnixMs: u.supersededMs,
	}
	for _, r := range slices.SortedFunc(maps.Keys(u.rows), compareRows) {
		out.Counters = append(out.Counters, encodeCounts(r, u.rows[r]))
	}
	for _, r := range slices.SortedFunc(maps.Keys(u.served), compareServedRows) {
		out.Served = append(out.Served, encodeServed(r, u.served[r]))
	}
	return out
}

func decodeCounterTable(p *masticproto.UsageRows) *counterTable {
	u := newCounterTable()
	u.sequence = p.GetSequence()
	u.supersededMs = p.GetSupersededUnixMs()
	u.merge(p.GetCounters(), p.GetServed())
	return u
}
