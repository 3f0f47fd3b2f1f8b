package masticusage

import (
	"hash/fnv"
	"time"

	"masticladder/masticproto"
)

// CloseAfter is how long after its supersession, or after its last report if that is later, a
// superseded incarnation is closed. Its rows are then kept only as part of the sums, and its later
// reports are rejected.
const CloseAfter = 24 * time.Hour

// daemonID identifies a daemon incarnation.
type daemonID struct{ host, incarnation string }

// hash returns the 64-bit hash by which closed daemon incarnations are recorded.
func (d daemonID) hash() uint64 {
	h := fnv.New64a()
	h.Write([]byte(d.host))
	h.Write([]byte{0})
	h.Write([]byte(d.incarnation))
	return h.Sum64()
}

// counterTable contains the rows of one daemon incarnation, or the sums over the closed
// ones.
type counterTable struct {
	sequence uint64
	// supersededMs is zero for the newest incarnation of a host. Otherwise it is when a newer
	// one first reported, or when this one last reported if that was later, in Unix
	// milliseconds.
	supersededMs int64
	rows         map[Row]Counts
	served       map[ServedRow]Served
}

func newCounterTable() *counterTable {
	return &counterTable{rows: make(map[Row]Counts), served: make(map[ServedRow]Served)}
}

// Totals are the totals over all daemons, kept by the control group. They are deterministic
// and not safe for concurrent use.
type Totals struct {
	daemons map[daemonID]*counterTable
	// currentIncarnation is the newest incarnation of each host.
	currentIncarnation map[string]string
	closed             *counterTable
	closedDaemons      map[uint64]struct{}
}

// NewTotals returns empty totals.
func NewTotals() *Totals {
	return &Totals{
		daemons: make(map[daemonID]*counterTable), currentIncarnation: make(map[string]string),
		closed: newCounterTable(), closedDaemons: make(map[uint64]struct{}),
	}
}

// Merge merges a report into the totals. It returns false, and changes nothing, if the
// daemon incarnation is closed.
func (t *Totals) Merge(now time.Time, r *masticproto.UsageReport) bool {
	d := daemonID{r.GetHost(), r.GetIncarnation()}
	if _, ok := t.closedDaemons[d.hash()]; ok {
		return false
	}
	u, ok := t.daemons[d]
	if !ok {
		u = newCounterTable()
		t.daemons[d] = u
		t.supersede(now, d)
	}
	if u.supersededMs != 0 {
		u.supersededMs = now.UnixMilli()
	}
	u.sequence = max(u.sequence, r.GetSequence())
	u.merge(r.GetCounters(), r.GetServed())
	return true
}

func (u *counterTable) merge(counters []*masticproto.UsageCounter, served []*masticproto.ServedCounter) {
	for _, p := range counters {
		row, c := decodeCounts(p)
		u.rows[row] = u.rows[row].merge(c)
	}
	for _, p := range served {
		row, s := decodeServed(p)
		u.served[row] = u.served[row].combine(s, larger)
	}
}

// supersede makes d the newest incarnation of its host.
func (t *Totals) supersede(now time.Time, d daemonID) {
	if previous, ok := t.currentIncarnation[d.host]; ok {
		if u, ok := t.daemons[daemonID{d.host, previous}]; ok {
			u.supersededMs = now.UnixMilli()
		}
	}
	t.currentIncarnation[d.host] = d.incarnation
}

// Close moves the rows of incarnations that were superseded, and last reported, CloseAfter
// ago or earlier into the sums.
func (t *Totals) Close(now time.Time) {
	cutoff := now.Add(-CloseAfter).UnixMilli()
	for d, u := range t.daemons {
		if u.supersededMs == 0 || u.supersededMs > cutoff {
			continue
		}
		for r, c := range u.rows {
			t.closed.rows[r] = t.closed.rows[r].add(c)
		}
		for r, s := range u.served {
			t.closed.served[r] = t.closed.served[r].combine(s, sum)
		}
		t.closedDaemons[d.hash()] = struct{}{}
		delete(t.daemons, d)
	}
}

// Rows returns the sums over all daemon incarnations by row.
func (t *Totals) Rows() map[Row]Counts {
	out := make(map[Row]Counts)
	for _, u := range t.all() {
		for r, c := range u.rows {
			out[r] = out[r].add(c)
		}
	}
	return out
}

// ServedRows returns the sums over all daemon incarnations by served row.
func (t *Totals) ServedRows() map[ServedRow]Served {
	out := make(map[ServedRow]Served)
	for _, u := range t.all() {
		for r, s := range u.served {
			out[r] = out[r].combine(s, sum)
		}
	}
	return out
}

func (t *Totals) all() []*counterTable {
	out := []*counterTable{t.closed}
	for _, u := range t.daemons {
		out = append(out, u)
	}
	return out
}
