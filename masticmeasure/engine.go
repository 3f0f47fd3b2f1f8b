package masticmeasure

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"masticladder/masticcache"
	"masticladder/masticprompt"
	"masticladder/masticroute"
)

// job is one attempt on an engine.
type job struct {
	call     *call
	attempt  int
	priority int
	order    int
	// cached is the number of leading pieces found cached, -1 before the prefill starts.
	cached int
	// next is the piece to be computed next.
	next int
}

func (j *job) started() bool { return j.cached >= 0 }

// left returns the tokens still to be computed.
func (j *job) left(c *lru) int64 {
	from := j.next
	if !j.started() {
		from = c.prefix(j.call.arrival.pieces)
	}
	return tokensOf(j.call.arrival.pieces[from:])
}

func tokensOf(pieces []masticprompt.Piece) int64 {
	var n int64
	for _, p := range pieces {
		n += p.Tokens
	}
	return n
}

// engine is the stand-in for a backend server: it computes one piece at a time, in
// the order of priority, and decodes in a bounded number of slots.
type engine struct {
	name        string
	speed       float64
	cache       *lru
	up          bool
	incarnation int
	// jobs are those without a first token, decoding the others.
	jobs     []*job
	decoding []*job
	busy     bool
	events   []masticcache.Event
	// nextEvent is the number of the first of events.
	nextEvent uint64
}

func newEngine(name string, speed float64) *engine {
	return &engine{name: name, speed: speed, cache: newLRU(engineCacheTokens), up: true, nextEvent: 1}
}

func (e *engine) incarnationName() string { return strconv.Itoa(e.incarnation) }

// crash ends the incarnation and returns the attempts that ran.
func (e *engine) crash() []*job {
	lost := append(e.jobs, e.decoding...)
	*e = engine{name: e.name, speed: e.speed, cache: newLRU(engineCacheTokens), incarnation: e.incarnation + 1, nextEvent: 1}
	return lost
}

func (e *engine) submit(j *job) {
	j.cached = -1
	e.jobs = append(e.jobs, j)
	slices.SortStableFunc(e.jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.order, b.order))
	})
}

func (e *engine) remove(j *job) {
	e.jobs = slices.DeleteFunc(e.jobs, func(o *job) bool { return o == j })
}

// release ends the decoding of j and reports whether it was decoding.
func (e *engine) release(j *job) bool {
	n := len(e.decoding)
	e.decoding = slices.DeleteFunc(e.decoding, func(o *job) bool { return o == j })
	return len(e.decoding) < n
}

// pick returns the job to work on next, or nil.
func (e *engine) pick() *job {
	held := len(e.decoding)
	for _, j := range e.jobs {
		if j.started() {
			held++
		}
	}
	for _, j := range e.jobs {
		if j.started() || held < engineSlots {
			return j
		}
	}
	return nil
}

// begin starts on the next piece of j and returns how long it takes.
func (e *engine) begin(j *job) time.Duration {
	pieces := j.call.arrival.pieces
	if !j.started() {
		j.cached = e.cache.prefix(pieces)
		j.next = j.cached
		e.cache.touch(pieces[:j.cached])
	}
	if j.next == len(pieces) {
		return 0
	}
	return time.Duration(float64(pieces[j.next].Tokens) / e.speed * float64(time.Second))
}

// finish ends the piece that begin started and reports whether the prefill is complete.
func (e *engine) finish(j *job) bool {
	pieces := j.call.arrival.pieces
	if j.next < len(pieces) {
		p := pieces[j.next]
		if !e.cache.has(p.ID) {
			e.events = append(e.events, masticcache.Event{Kind: masticcache.Stored, Piece: p.ID})
		}
		for _, id := range e.cache.add(p) {
			e.events = append(e.events, masticcache.Event{Kind: masticcache.Removed, Piece: id})
		}
		j.next++
	}
	if j.next < len(pieces) {
		return false
	}
	e.cache.touch(pieces)
	return true
}

// report returns the load as of now.
func (e *engine) report(now time.Time) masticroute.Report {
	r := masticroute.Report{
		Server: e.name, Incarnation: e.incarnationName(), AsOf: now,
		Running: int64(len(e.decoding) + len(e.jobs)), Slots: engineSlots,
	}
	for _, j := range e.jobs {
		r.QueuedTokens += j.left(e.cache)
	}
	return r
}

// takeEvents returns the events since the last call.
func (e *engine) takeEvents() masticcache.Batch {
	b := masticcache.Batch{First: e.nextEvent, Events: e.events}
	e.nextEvent += uint64(len(e.events))
	e.events = nil
	return b
}
