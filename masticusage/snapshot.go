package masticusage

import (
	"cmp"
	"maps"
	"slices"

	"masticladder/masticproto"
)

// Snapshot returns all totals in wire form, in a fixed order.
func (t *Totals) Snapshot() *masticproto.UsageSnapshot {
	out := &masticproto.UsageSnapshot{Closed: encodeTables(daemon{}, t.closed), ClosedDaemons: slices.Sorted(maps.Keys(t.ended))}
	daemons := slices.SortedFunc(maps.Keys(t.daemons), func(a, b daemon) int {
		return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.incarnation, b.incarnation))
	})
	for _, d := range daemons {
		rows := encodeTables(d, t.daemons[d])
		rows.Current = t.current[d.host] == d.incarnation
		out.Daemons = append(out.Daemons, rows)
	}
	return out
}

// Restore returns the totals that s holds.
func Restore(s *masticproto.UsageSnapshot) *Totals {
	t := NewTotals()
	t.closed = decodeTables(s.GetClosed())
	for _, p := range s.GetDaemons() {
		d := daemon{p.GetHost(), p.GetIncarnation()}
		t.daemons[d] = decodeTables(p)
		if p.GetCurrent() {
			t.current[d.host] = d.incarnation
		}
	}
	for _, id := range s.GetClosedDaemons() {
		t.ended[id] = struct{}{}
	}
	return t
}

func encodeTables(d daemon, u *tables) *masticproto.UsageRows {
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

func decodeTables(p *masticproto.UsageRows) *tables {
	u := newTables()
	u.sequence = p.GetSequence()
	u.supersededMs = p.GetSupersededUnixMs()
	u.merge(p.GetCounters(), p.GetServed())
	return u
}
