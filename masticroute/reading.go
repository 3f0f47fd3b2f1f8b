package masticroute

import (
	"time"

	"masticladder/masticcache"
	"masticladder/masticprompt"
)

const (
	// minReadingGrace is the least time after the predicted first token at which a prompt counts as
	// cached if nobody has reported the first token, readingGraceFactor that time in predicted times. It
	// is long because the first token is nearly always reported, and predictions for engines that a host
	// has not measured are too short by up to a factor of 1.7.
	minReadingGrace    = 500 * time.Millisecond
	readingGraceFactor = 2
	// maxExpectedReading bounds the predicted time until a prompt is cached.
	maxExpectedReading = 3 * time.Second
	// saveDelay is the time from the first token until a store has a saved prompt, besides the transfer
	// and the wait for its link.
	saveDelay = 10 * time.Millisecond
)

// newReading returns when a prompt is cached that is predicted to be after d.
func newReading(now time.Time, d time.Duration) masticcache.Reading {
	d = min(max(0, d), maxExpectedReading)
	return masticcache.Reading{ExpectedAt: now.Add(d), AssumedAt: now.Add(d + max(readingGraceFactor*d, minReadingGrace))}
}

// beginReading records that w was sent to its engine, here and for the other hosts.
func (r *Router) beginReading(now time.Time, w *Work, fetchTokens float64) {
	r.assignFetch(now, w.Fetch, fetchTokens)
	r.cacheIndex.Begin(now, w.Slot, w.Epoch, w.Pieces, newReading(now, w.Predicted))
	t := Touch{Server: r.servers[w.Slot].info.Name, Pieces: w.Pieces, ExpectedIn: max(time.Microsecond, w.Predicted)}
	if fetchTokens > 0 {
		t.Source, t.SourceTokens = w.Fetch, int64(fetchTokens)
	}
	r.addTouch(t)
}

// finishReading records that the engine of w has its prompt, here and, as to the part that other requests
// may share, for the other hosts.
func (r *Router) finishReading(now time.Time, w *Work) {
	if r.cacheIndex.Epoch(w.Slot) != w.Epoch {
		return
	}
	r.cacheIndex.Finish(now, w.Slot, w.Epoch, w.Pieces)
	if end := prefixEnd(w.Pieces); end >= 0 && r.addTouch(Touch{Server: r.servers[w.Slot].info.Name, Pieces: w.Pieces[:end+1]}) {
		r.finishedUnsent = true
	}
	r.finishedReadings++
}

// FinishedReadings returns a number that changes when this host learns that an engine has read a prompt, or
// will not read it.
func (r *Router) FinishedReadings() uint64 { return r.finishedReadings }

// abandonReading records that the engine of w will not read what it lacked of the prompt.
func (r *Router) abandonReading(now time.Time, w *Work) {
	r.cacheIndex.Abandon(now, w.Slot, w.Epoch, w.Pieces)
	r.finishedReadings++
	r.addTouch(Touch{Server: r.servers[w.Slot].info.Name, Pieces: w.Pieces, Gone: true, ExpectedIn: time.Microsecond})
}

// saveStarted records that the store of slot receives the pieces: it has them once its link has
// transferred what was saved before and what it lacks of them. A save that would wait for too long is
// not begun.
func (r *Router) saveStarted(now time.Time, slot masticcache.Slot, pieces []masticprompt.Piece) bool {
	address := r.servers[slot].info.Name
	missing := r.cacheIndex.MissingTokens(slot, pieces)
	at, ok := r.linkOf(now, address).assign(now, missing, r.storeRate(address))
	if !ok {
		return false
	}
	at = at.Add(saveDelay)
	r.cacheIndex.Begin(now, slot, r.cacheIndex.Epoch(slot), pieces, masticcache.Reading{ExpectedAt: at, AssumedAt: at})
	return true
}

// applyTouch records what another host reports of the prompts of a server.
func (r *Router) applyTouch(now time.Time, t Touch) {
	slot, ok := r.slots[t.Server]
	if !ok {
		return
	}
	r.assignFetch(now, t.Source, float64(t.SourceTokens))
	epoch := r.cacheIndex.Epoch(slot)
	switch {
	case t.Reset:
		r.cacheIndex.Reset(slot)
	case t.Gone && t.ExpectedIn > 0:
		r.cacheIndex.Abandon(now, slot, epoch, t.Pieces)
		r.finishedReadings++
	case t.Gone:
		r.cacheIndex.Remove(now, slot, t.Pieces)
	case r.servers[slot].info.Kind == serverStore && t.ExpectedIn > 0:
		r.saveStarted(now, slot, t.Pieces)
	case t.ExpectedIn > 0:
		r.cacheIndex.Begin(now, slot, epoch, t.Pieces, newReading(now, t.ExpectedIn))
	default:
		r.finishedReadings++
		r.cacheIndex.Touch(now, slot, epoch, t.Pieces)
	}
}

// addTouch adds t to the next report to other hosts, which may share the prompt, if that is at least
// minFetchTokens long. It reports whether it did.
func (r *Router) addTouch(t Touch) bool {
	if !r.shared || r.shards != nil || len(r.unsentTouches) >= maxTouches {
		return false
	}
	var tokens int64
	for _, p := range t.Pieces {
		tokens += p.Tokens
	}
	if tokens < minFetchTokens {
		return false
	}
	r.unsentTouches = append(r.unsentTouches, t)
	return true
}

// TakeFinishedUnsent reports whether the next report to other hosts says that an engine has a prompt,
// which requests on other hosts may wait for. It does so once for each report.
func (r *Router) TakeFinishedUnsent() bool {
	unsent := r.finishedUnsent
	r.finishedUnsent = false
	return unsent
}
