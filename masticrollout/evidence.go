package masticrollout

import (
	"slices"
	"time"

	"masticladder/masticproto"
	"masticladder/masticview"
)

const (
	// maxSlices bounds the slices of time, and minSlice is the least length of one: hosts report each 0.2 s.
	maxSlices = 40
	minSlice  = time.Second
	// maxCells bounds the kinds of like answers in one slice, over all hosts: further answers are counted without their stratum,
	// and above twice as many not at all.
	maxCells = 4096
	// maxTotalCells bounds those of all slices but the last together, at some 350 bytes each: the oldest slices are merged.
	maxTotalCells = 1 << 15
)

// Evidence sums what hosts have counted of one rollout. It is not safe for concurrent use.
type Evidence struct {
	rollout masticview.Rollout
	slice   time.Duration
	hosts   map[string]*hostEvidence
	// slices are the counts by the time at which they were reported, in the order of time. A new leader has all that
	// was counted before in its first slice.
	slices []slice
	// loaded is that of new slices.
	loaded bool
	// cells is the number of kinds of answers in all slices, leftOut that of answers that were not counted.
	cells   int
	leftOut int64
}

// hostEvidence is the last report of a host.
type hostEvidence struct {
	incarnation string
	at          time.Time
	report      *masticproto.RolloutEvidence
	// earlier counts are those of earlier incarnations.
	earlierRequests, earlierExposed int64
}

// slice holds the counts that were reported within one slice of time.
type slice struct {
	at    time.Time
	cells map[rowKey]*counts
	// loaded reports that few servers had the load of an old one each. long reports that hosts reported what they had counted over a longer time.
	loaded, long bool
}

// NewEvidence returns no evidence of a rollout.
func NewEvidence(r masticview.Rollout) *Evidence {
	return &Evidence{rollout: r, slice: max(minSlice, r.Span()/maxSlices), hosts: map[string]*hostEvidence{}}
}

// FirstSequence identifies the rollout.
func (e *Evidence) FirstSequence() uint64 { return e.rollout.FirstSequence }

// Add adds a host's report. Reports are cumulative; one of another rollout, or older than the last, is ignored.
func (e *Evidence) Add(now time.Time, host, incarnation string, p *masticproto.RolloutEvidence) {
	if p.GetFirstSequence() != e.rollout.FirstSequence || len(p.GetRows()) > 2*maxRows {
		return
	}
	h, known := e.hosts[host]
	if !known {
		h = &hostEvidence{incarnation: incarnation}
		e.hosts[host] = h
	}
	if known && h.incarnation == incarnation && (p.GetRequests() < h.report.GetRequests() || p.GetSequence() < h.report.GetSequence()) {
		return
	}
	if known && h.incarnation != incarnation {
		h.earlierRequests += h.report.GetRequests()
		h.earlierExposed += h.report.GetExposed()
		h.incarnation, h.report = incarnation, nil
	}
	e.addRows(now, h.report.GetRows(), p.GetRows())
	h.report, h.at = p, now
}

// addRows adds the difference between two reports of a host to the current slice.
func (e *Evidence) addRows(now time.Time, old, rows []*masticproto.RolloutRow) {
	before := make(map[rowKey]*masticproto.RolloutRow, len(old))
	for _, r := range old {
		before[keyOf(r)] = r
	}
	current := e.current(now)
	current.long = current.long || len(old) == 0 && now.Sub(e.rollout.OrderedAt) > 2*e.slice
	cells := current.cells
	for _, r := range rows {
		k := keyOf(r)
		x, y := countsOf(r), countsOf(before[k])
		x.subtract(&y)
		if x == (counts{}) {
			continue
		}
		if c := e.cell(cells, k); c != nil {
			c.add(&x)
		} else {
			e.leftOut += x.total()
		}
	}
}

// mergeOldest merges the two oldest slices.
func (e *Evidence) mergeOldest() {
	first, second := &e.slices[0], e.slices[1]
	for k, c := range second.cells {
		if x := e.cell(first.cells, k); x != nil {
			x.add(c)
		} else {
			e.leftOut += c.total()
		}
	}
	e.cells -= len(second.cells)
	first.loaded, first.long = first.loaded && second.loaded, true
	e.slices = slices.Delete(e.slices, 1, 2)
}

// cell returns the counts of answers of a kind, of their route and server if there are many kinds, and nil if there are too many.
func (e *Evidence) cell(cells map[rowKey]*counts, k rowKey) *counts {
	c, ok := cells[k]
	switch {
	case ok:
		return c
	case len(cells) >= maxCells && k.stratum != "":
		return e.cell(cells, rowKey{k.route, "", k.server})
	case len(cells) >= 2*maxCells:
		return nil
	}
	c = new(counts)
	cells[k] = c
	e.cells++
	return c
}

func keyOf(r *masticproto.RolloutRow) rowKey {
	return rowKey{r.GetRoute(), r.GetStratum(), r.GetServer()}
}

func countsOf(r *masticproto.RolloutRow) counts {
	c := counts{bad: r.GetBad()}
	copy(c.good[:], r.GetGood())
	return c
}

// current returns the current slice.
func (e *Evidence) current(now time.Time) *slice {
	if n := len(e.slices); n > 0 && (now.Sub(e.slices[n-1].at) < e.slice && e.slices[n-1].loaded == e.loaded || n >= 2*maxSlices) {
		// A version whose answers turn bad in a long slice must not wait for the next one.
		s := &e.slices[n-1]
		s.long = s.long || now.Sub(s.at) > minSlice
		return s
	}
	for e.cells >= maxTotalCells && len(e.slices) > 2 {
		e.mergeOldest()
	}
	e.slices = append(e.slices, slice{at: now, cells: map[rowKey]*counts{}, loaded: e.loaded})
	return &e.slices[len(e.slices)-1]
}

// Heard reports whether each of the hosts has reported.
func (e *Evidence) Heard(hosts []string) bool {
	for _, name := range hosts {
		if _, known := e.hosts[name]; !known {
			return false
		}
	}
	return true
}

// Totals are the requests of all hosts since the order.
type Totals struct {
	Requests, Exposed int64
	// Answers and Bad count the answers of the target version, OtherAnswers and OtherBad those of others.
	Answers, Bad, OtherAnswers, OtherBad int64
	// RunningTarget and RunningOther count the requests that run or wait.
	RunningTarget, RunningOther int64
	// LeftOut counts the answers that were not compared, of too many kinds.
	LeftOut int64
	// OldestAge is the age of the oldest last report of a host.
	OldestAge time.Duration
}

// Totals returns the sums of all reports.
func (e *Evidence) Totals(now time.Time) Totals {
	t := Totals{LeftOut: e.leftOut}
	for _, h := range e.hosts {
		t.Requests += h.earlierRequests + h.report.GetRequests()
		t.Exposed += h.earlierExposed + h.report.GetExposed()
		t.RunningTarget += h.report.GetRunningTarget()
		t.RunningOther += h.report.GetRunningOther()
		t.OldestAge = max(t.OldestAge, now.Sub(h.at))
	}
	for _, s := range e.slices {
		for k, c := range s.cells {
			if k.server != "" {
				t.Answers += c.total()
				t.Bad += c.bad
			} else {
				t.OtherAnswers += c.total()
				t.OtherBad += c.bad
			}
		}
	}
	return t
}

// Confirmed reports whether each of the hosts has reported, since the given step, that it applies the step and that
// nothing runs on other versions. Other hosts that were heard of must have reported the same, unless they have been
// silent for the given time.
func (e *Evidence) Confirmed(now time.Time, sequence uint64, hosts []string, silence time.Duration) bool {
	if !e.Heard(hosts) {
		return false
	}
	required := make(map[string]bool, len(hosts))
	for _, name := range hosts {
		required[name] = true
	}
	for name, h := range e.hosts {
		if !required[name] && now.Sub(h.at) >= silence {
			continue
		}
		if h.report.GetSequence() < sequence || h.report.GetRunningOther() > 0 {
			return false
		}
	}
	return true
}
