package masticroute

import (
	"slices"
	"time"

	"masticladder/masticview"
)

const (
	// accuseSpan is the time within which a second host has to find the same backend server
	// ended: 57 hosts send some 900 requests a second to 90 engines.
	accuseSpan = time.Second
	// shunSpan is for how long such a server gets nothing. The list shows an end after up to
	// 1.2 s; hosts that still find it ended renew the pause.
	shunSpan = 500 * time.Millisecond
	// provenSpan is for how long an answer goes before what others say of a server.
	provenSpan = time.Second
	// maxEnded bounds the ended servers of one report.
	maxEnded = 64
)

// hearsay is what other hosts say of a backend server. One host alone may be cut off itself,
// so two have to find it ended.
type hearsay struct {
	accuser   string
	accusedAt time.Time
	// shunnedUntil is the deadline of the pause, provenAt when the server answered this host.
	shunnedUntil, provenAt time.Time
}

// accuse notes that host found the server ended.
func (h *hearsay) accuse(now time.Time, host string) {
	if !h.provenAt.IsZero() && now.Sub(h.provenAt) < provenSpan {
		return
	}
	if h.accuser != "" && h.accuser != host && now.Sub(h.accusedAt) <= accuseSpan {
		h.shunnedUntil = now.Add(shunSpan)
	}
	h.accuser, h.accusedAt = host, now
}

// hear takes what another host found ended. A host that finds most engines ended is cut off.
func (r *Router) hear(now time.Time, report PeerReport) {
	if len(report.Ended) > max(1, r.engines/2) {
		return
	}
	for _, name := range report.Ended {
		if slot, ok := r.slots[name]; ok {
			r.servers[slot].hearsay.accuse(now, report.Host)
		}
	}
}

// noteEnded remembers that s was found ended, to tell other hosts.
func (r *Router) noteEnded(s *server) {
	if r.shared && s.info.Kind == masticview.ServerEngine && len(r.ended) < maxEnded && !slices.Contains(r.ended, s.info.Name) {
		r.ended = append(r.ended, s.info.Name)
	}
}
