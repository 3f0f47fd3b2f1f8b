package masticfake

import (
	"net/http"
	"strconv"
	"time"
)

// CacheEvent reports that a block was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Block    string `json:"block"`
	at       time.Time
}

// CacheEvents is the JSON of GET /events.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Next        uint64       `json:"next"`
	Events      []CacheEvent `json:"events"`
}

// maxEvents is the maximum number of events kept; a reader of older ones sees a gap.
const maxEvents = 4096

// addEvent requires the engine's lock.
func (e *Engine) addEvent(kind string, block uint64) {
	e.eventNext++
	if e.dropEvery > 0 && e.eventNext%uint64(e.dropEvery) == 0 {
		return
	}
	e.events = append(e.events, CacheEvent{
		Sequence: e.eventNext - 1,
		Kind:     kind,
		Block:    strconv.FormatUint(block, 16),
		at:       time.Now(),
	})
	if len(e.events) > maxEvents {
		e.events = append([]CacheEvent(nil), e.events[len(e.events)-maxEvents/2:]...)
	}
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	a := CacheEvents{Incarnation: e.incarnation, Next: from, Events: []CacheEvent{}}
	latest := time.Now().Add(-e.eventDelay)
	for _, v := range e.events {
		if v.Sequence >= from && !v.at.After(latest) {
			a.Events = append(a.Events, v)
			a.Next = v.Sequence + 1
		}
	}
	writeJSON(w, http.StatusOK, a)
}
