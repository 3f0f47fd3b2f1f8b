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

// job is one attempt of a call on an engine.
type job struct {
	call     *call
	attempt  int
	priority int
	sequence int
	// cachedPieces is the number of leading pieces found in the cache, -1 before the prefill starts.
	cachedPieces int
	// nextPiece is the index of the next piece to compute.
	nextPiece int
}

func (j *job) started() bool { return j.cachedPieces >= 0 }

// remainingTokens returns the number of prompt tokens still to be computed.
func (j *job) remainingTokens(c *lru) int64 {
	from := j.nextPiece
	if !j.started() {
		from = c.prefix(j.call.arrival.pieces)
	}
	return countTokens(j.call.arrival.pieces[from:])
}

func countTokens(pieces []masticprompt.Piece) int64 {
	var n int64
	for _, p := range pieces {
		n += p.Tokens
	}
	return n
}

// engine simulates a backend server. It computes one piece at a time, in order of
// priority, and runs at most engineSlots started jobs concurrently.
type engine struct {
	name            string
	tokensPerSecond float64
	cache           *lru
	up              bool
	incarnation     int
	// prefilling are the jobs whose prefill is waiting or running, decoding those whose prefill is complete.
	prefilling  []*job
	decoding    []*job
	busy        bool
	cacheEvents []masticcache.Event
	// nextCacheEvent is the sequence number of the first entry of cacheEvents.
	nextCacheEvent uint64
}

func newEngine(name string, tokensPerSecond float64) *engine {
	return &engine{name: name, tokensPerSecond: tokensPerSecond, cache: newLRU(engineCacheTokens), up: true, nextCacheEvent: 1}
}

func (e *engine) incarnationName() string { return strconv.Itoa(e.incarnation) }

// crash takes the engine down with an empty cache and a new incarnation, and returns
// the jobs that were lost.
func (e *engine) crash() []*job {
	lost := append(e.prefilling, e.decoding...)
	*e = engine{name: e.name, tokensPerSecond: e.tokensPerSecond, cache: newLRU(engineCacheTokens), incarnation: e.incarnation + 1, nextCacheEvent: 1}
	return lost
}

func (e *engine) submit(j *job) {
	j.cachedPieces = -1
	e.prefilling = append(e.prefilling, j)
	slices.SortStableFunc(e.prefilling, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.sequence, b.sequence))
	})
}

func (e *engine) removePrefill(j *job) {
	e.prefilling = slices.DeleteFunc(e.prefilling, func(other *job) bool { return other == j })
}

// stopDecoding frees the slot of j and reports whether j was decoding.
func (e *engine) stopDecoding(j *job) bool {
	n := len(e.decoding)
	e.decoding = slices.DeleteFunc(e.decoding, func(other *job) bool { return other == j })
	return len(e.decoding) < n
}

// nextJob returns the first job in order of priority that is started or finds a free
// slot, or nil.
func (e *engine) nextJob() *job {
	usedSlots := len(e.decoding)
	for _, j := range e.prefilling {
		if j.started() {
			usedSlots++
		}
	}
	for _, j := range e.prefilling {
		if j.started() || usedSlots < engineSlots {
			return j
		}
	}
	return nil
}

// startPiece starts computing the next piece of j and returns how long that takes.
func (e *engine) startPiece(j *job) time.Duration {
	pieces := j.call.arrival.pieces
	if !j.started() {
		j.cachedPieces = e.cache.prefix(pieces)
		j.nextPiece = j.cachedPieces
		e.cache.touch(pieces[:j.cachedPieces])
	}
	if j.nextPiece == len(pieces) {
		return 0
	}
	return time.Duration(float64(pieces[j.nextPiece].Tokens) / e.tokensPerSecond * float64(time.Second))
}

// finishPiece completes the piece that startPiece started and reports whether the
// prefill is complete.
func (e *engine) finishPiece(j *job) bool {
	pieces := j.call.arrival.pieces
	if j.nextPiece < len(pieces) {
		p := pieces[j.nextPiece]
		if !e.cache.has(p.ID) {
			e.cacheEvents = append(e.cacheEvents, masticcache.Event{Kind: masticcache.Stored, Piece: p.ID})
		}
		for _, id := range e.cache.add(p) {
			e.cacheEvents = append(e.cacheEvents, masticcache.Event{Kind: masticcache.Removed, Piece: id})
		}
		j.nextPiece++
	}
	if j.nextPiece < len(pieces) {
		return false
	}
	e.cache.touch(pieces)
	return true
}

// report returns the engine's load as of now.
func (e *engine) report(now time.Time) masticroute.LoadReport {
	r := masticroute.LoadReport{
		Server: e.name, Incarnation: e.incarnationName(), AsOf: now,
		Running: int64(len(e.decoding) + len(e.prefilling)), Slots: engineSlots,
	}
	for _, j := range e.prefilling {
		r.QueuedTokens += j.remainingTokens(e.cache)
	}
	return r
}

// drainCacheEvents returns the cache events since the last call.
func (e *engine) drainCacheEvents() masticcache.Batch {
	b := masticcache.Batch{First: e.nextCacheEvent, Events: e.cacheEvents}
	e.nextCacheEvent += uint64(len(e.cacheEvents))
	e.cacheEvents = nil
	return b
}
