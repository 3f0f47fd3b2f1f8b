package masticroute

import (
	"time"

	"masticladder/masticcache"
)

// ApplyPartEvents applies what the named engine or store reports of its cache, and passes on to the other
// hosts what matters to them. reset reports that its cache was emptied before.
func (r *Router) ApplyPartEvents(now time.Time, name string, reset bool, events []masticcache.PartEvent) {
	slot, ok := r.slots[name]
	if !ok {
		return
	}
	if reset {
		r.cacheIndex.Reset(slot)
		r.addCacheChange(Touch{Server: name, Reset: true})
	}
	for _, e := range events {
		changed, gone := r.cacheIndex.ApplyPart(now, slot, e)
		if len(changed) == 0 {
			continue
		}
		if !gone {
			r.finishedReadings++
		}
		r.addCacheChange(Touch{Server: name, Pieces: changed, Gone: gone})
	}
}

// maxCacheChanges bounds the touches from cache events between two reports. It leaves room for placements.
const maxCacheChanges = maxTouches / 2

// addCacheChange adds t to the next report to other hosts, if there is room; a reset always.
func (r *Router) addCacheChange(t Touch) {
	if r.shared && r.shards == nil && (t.Reset || len(r.unsentTouches) < maxCacheChanges) {
		r.unsentTouches = append(r.unsentTouches, t)
	}
}
