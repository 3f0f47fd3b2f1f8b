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
		r.addNews(Touch{Server: name, Reset: true})
	}
	for _, e := range events {
		changed, gone := r.cacheIndex.ApplyPart(now, slot, e)
		if len(changed) == 0 {
			continue
		}
		if !gone {
			r.finishedReadings++
		}
		r.addNews(Touch{Server: name, Pieces: changed, Gone: gone})
	}
}

// maxNews bounds the touches from cache events between two reports. It leaves room for placements.
const maxNews = maxTouches / 2

// addNews adds t to the next report to other hosts, if there is room; a reset always.
func (r *Router) addNews(t Touch) {
	if r.shared && r.shards == nil && (t.Reset || len(r.unsentTouches) < maxNews) {
		r.unsentTouches = append(r.unsentTouches, t)
	}
}
