package masticusage

import (
	"hash/fnv"
	"time"

	"masticladder/masticproto"
)

// CloseAfter is how long after its last report a superseded incarnation is closed. Its rows are then kept only in the sums, and later reports of it are refused.
const CloseAfter = 24 * time.Hour

type daemon struct{ host, incarnation string }

// id stands for a closed daemon incarnation.
func (d daemon) id() uint64 {
	h := fnv.New64a()
	h.Write([]byte(d.host))
	h.Write([]byte{0})
	h.Write([]byte(d.incarnation))
	return h.Sum64()
}

// tables are the rows of one daemon incarnation, or of the closed ones together.
type tables struct {
	sequence uint64
	// supersededMs is when a newer incarnation first reported, in Unix milliseconds; zero if none did.
	supersededMs int64
	rows         map[Row]Counts
	served       map[ServedRow]Served
}

func newTables() *tables {
	return &tables{rows: make(map[Row]Counts), served: make(map[ServedRow]Served)}
}

// Totals is control's side. It is deterministic and changed by one goroutine only.
type Totals struct {
	daemons map[daemon]*tables
	// current names the newest incarnation of each host.
	current map[string]string
	closed  *tables
	ended   map[uint64]struct{}
}

// NewTotals returns empty totals.
func NewTotals() *Totals {
	return &Totals{
		daemons: make(map[daemon]*tables), current: make(map[string]string),
		closed: newTables(), ended: make(map[uint64]struct{}),
	}
}

// Merge takes a report and reports whether its daemon incarnation is still open.
func (t *Totals) Merge(now time.Time, r *masticproto.UsageReport) bool {
	d := daemon{r.GetHost(), r.GetIncarnation()}
	if _, ok := t.ended[d.id()]; ok {
		return false
	}
	u, ok := t.daemons[d]
	if !ok {
		u = newTables()
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

func (u *tables) merge(counters []*masticproto.UsageCounter, served []*masticproto.ServedCounter) {
	for _, p := range counters {
		row, c := decodeCounts(p)
		u.rows[row] = u.rows[row].merge(c)
	}
	for _, p := range served {
		row, s := decodeServed(p)
		u.served[row] = u.served[row].combine(s, larger)
	}
}

// supersede notes that d is the newest incarnation of its host.
func (t *Totals) supersede(now time.Time, d daemon) {
	if former, ok := t.current[d.host]; ok {
		if u, ok := t.daemons[daemon{d.host, former}]; ok {
			u.supersededMs = now.UnixMilli()
		}
	}
	t.current[d.host] = d.incarnation
}

// Close moves the rows of incarnations that were superseded CloseAfter ago into the sums.
func (t *Totals) Close(now time.Time) {
	limit := now.Add(-CloseAfter).UnixMilli()
	for d, u := range t.daemons {
		if u.supersededMs == 0 || u.supersededMs > limit {
			continue
		}
		for r, c := range u.rows {
			t.closed.rows[r] = t.closed.rows[r].plus(c)
		}
		for r, s := range u.served {
			t.closed.served[r] = t.closed.served[r].combine(s, sum)
		}
		t.ended[d.id()] = struct{}{}
		delete(t.daemons, d)
	}
}

// Rows returns the sums of all daemon incarnations by row.
func (t *Totals) Rows() map[Row]Counts {
	out := make(map[Row]Counts)
	for _, u := range t.all() {
		for r, c := range u.rows {
			out[r] = out[r].plus(c)
		}
	}
	return out
}

// ServedRows returns the sums of all daemon incarnations by served row.
func (t *Totals) ServedRows() map[ServedRow]Served {
	out := make(map[ServedRow]Served)
	for _, u := range t.all() {
		for r, s := range u.served {
			out[r] = out[r].combine(s, sum)
		}
	}
	return out
}

func (t *Totals) all() []*tables {
	out := []*tables{t.closed}
	for _, u := range t.daemons {
		out = append(out, u)
	}
	return out
}
