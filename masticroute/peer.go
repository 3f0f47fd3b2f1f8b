package masticroute

import (
	"time"

	"masticladder/masticcache"
	"masticladder/masticprompt"
	"masticladder/masticview"
)

const (
	// peerReportTTL is how long another host's report is used.
	peerReportTTL = 1200 * time.Millisecond
	// peerSpeedGain is the weight of a speed measured by another host.
	peerSpeedGain = 0.1
	// maxTouches bounds the touches between two reports.
	maxTouches = 256
	// serverStore is the kind of the entry that represents a store among the servers.
	serverStore masticview.ServerKind = "store"
)

// ServerLoad is one host's work on one backend server, in tokens.
type ServerLoad struct {
	Server string
	// Tokens is the prefill work before first tokens, QuickTokens the quick class's part of it.
	Tokens, QuickTokens float64
	// HeldTokens is the engine memory of the running requests.
	HeldTokens float64
	Running    int64
	// Speed is the measured prefill speed in tokens per second, zero if there is none.
	Speed float64
}

// Touch records that a request with the pieces was sent to a backend server, that the server has them, or
// that a store was to save them.
type Touch struct {
	Server string
	Pieces []masticprompt.Piece
	// ExpectedIn is the predicted time until an engine has the pieces, zero if it has them. For a store it
	// is not zero if it is to save them; each host predicts the time from what it knows of the link.
	ExpectedIn time.Duration
	// Source is the IP:port from which the engine fetches SourceTokens, empty if it fetches nothing.
	Source       string
	SourceTokens int64
	// Gone reports that the server does not have the pieces any more or, if ExpectedIn is not zero, that it will
	// not read those that it has not read yet. Reset reports that its cache is empty.
	Gone, Reset bool
}

// PeerReport is the work of one host on all backend servers.
type PeerReport struct {
	Host    string
	Servers []ServerLoad
	Touches []Touch
	// Ended are the backend servers that the host found terminated or replaced.
	Ended []string
}

// peerLoad is another host's work on one backend server.
type peerLoad struct {
	tokens, quickTokens, heldTokens float64
	running                         int64
	at                              time.Time
}

// peersNow returns the total work of the other hosts whose reports are within peerReportTTL.
func (l *load) peersNow(now time.Time) peerLoad {
	var sum peerLoad
	for _, p := range l.peers {
		if now.Sub(p.at) > peerReportTTL {
			continue
		}
		sum.tokens += p.tokens
		sum.quickTokens += p.quickTokens
		sum.heldTokens += p.heldTokens
		sum.running += p.running
	}
	return sum
}

// ApplyPeerReport applies another host's report, which replaces that host's former one.
func (r *Router) ApplyPeerReport(now time.Time, report PeerReport) {
	for _, s := range r.servers {
		delete(s.load.peers, report.Host)
	}
	for _, l := range report.Servers {
		slot, ok := r.slots[l.Server]
		if !ok {
			continue
		}
		s := r.servers[slot]
		if s.load.peers == nil {
			s.load.peers = map[string]peerLoad{}
		}
		s.load.peers[report.Host] = peerLoad{tokens: l.Tokens, quickTokens: l.QuickTokens, heldTokens: l.HeldTokens, running: l.Running, at: now}
		if s.load.speed == 0 {
			r.updateMeanSpeed(l.Speed)
		}
		s.load.blendPeerSpeed(l.Speed)
	}
	r.applyPeerFailures(now, report)
	for _, t := range report.Touches {
		r.applyTouch(now, t)
	}
}

// blendPeerSpeed updates the speed by another host's measurement.
func (l *load) blendPeerSpeed(speed float64) {
	switch {
	case speed <= 0:
	case l.speed == 0:
		l.speed = speed
	default:
		l.speed += peerSpeedGain * (speed - l.speed)
	}
}

// TakeOwnReport returns this host's work, with the touches and the terminated servers since the
// last call.
func (r *Router) TakeOwnReport(host string) PeerReport {
	report := PeerReport{Host: host, Touches: r.unsentTouches, Ended: r.unsentTerminated}
	r.unsentTouches, r.unsentTerminated, r.finishedUnsent = nil, nil, false
	for _, s := range r.servers {
		if s.load.running == 0 {
			continue
		}
		report.Servers = append(report.Servers, ServerLoad{
			Server: s.info.Name, Tokens: s.load.ownTokens, QuickTokens: s.load.ownQuickTokens, HeldTokens: s.load.heldTokens,
			Running: int64(s.load.running), Speed: s.load.speed,
		})
	}
	return report
}

// store is a store of cached prompts outside the engines.
type store struct {
	slot          masticcache.Slot
	address, zone string
}

const (
	// storeOverrunThreshold is the delay of a first token beyond its prediction that counts as a
	// failed fetch: an unreachable store delays it by some hundred ms.
	storeOverrunThreshold = 250 * time.Millisecond
	// storeOverrunLimit is the number of such first tokens in a row after which a store is
	// considered down, storeCooldown how long it is not used then.
	storeOverrunLimit = 4
	storeCooldown     = 3 * time.Second
)

// storeHealth tracks whether a store is down, by the first tokens of requests that were to fetch
// from it.
type storeHealth struct {
	overruns  int
	downUntil time.Time
}

func (h *storeHealth) observe(now time.Time, overrun time.Duration) {
	if overrun < storeOverrunThreshold {
		h.overruns = 0
		return
	}
	h.overruns++
	if h.overruns >= storeOverrunLimit {
		h.overruns, h.downUntil = 0, now.Add(storeCooldown)
	}
}

// storeUsable reports whether the store at address is not considered down.
func (r *Router) storeUsable(now time.Time, address string) bool {
	h := r.storeHealth[address]
	return h == nil || !now.Before(h.downUntil)
}

// observeStore updates the health of the store that w fetches from by the time of w's first
// token.
func (r *Router) observeStore(now time.Time, w *Work) {
	for _, s := range r.stores {
		if s.address != w.Fetch {
			continue
		}
		if r.storeHealth == nil {
			r.storeHealth = map[string]*storeHealth{}
		}
		h := r.storeHealth[s.address]
		if h == nil {
			h = &storeHealth{}
			r.storeHealth[s.address] = h
		}
		h.observe(now, now.Sub(w.StartedAt)-w.Predicted)
	}
}

// loadDocument reads the stores and the engines' transfer speeds and memory from the document of v.
func (r *Router) loadDocument(v masticview.View) {
	if !r.shared || v.Document() == r.document {
		return
	}
	r.document = v.Document()
	r.stores, r.transferSpeeds, r.memoryTokens = nil, map[string]float64{}, map[string]float64{}
	r.storeRates = map[string]float64{}
	for _, p := range v.Document().GetPools() {
		if p.GetMaxInFlight() > 0 {
			r.cacheIndex.TrackParts()
		}
	}
	for _, p := range v.Document().GetPools() {
		if p.GetEngine() {
			r.transferSpeeds[p.GetName()] = float64(p.GetTransferTokensPerSecond())
			r.memoryTokens[p.GetName()] = float64(p.GetCacheTokens())
		}
		if p.GetStore() == "" {
			continue
		}
		slot, ok := r.slots[p.GetStore()]
		if !ok {
			slot = masticcache.Slot(len(r.servers))
			r.slots[p.GetStore()] = slot
			r.servers = append(r.servers, &server{info: masticview.Server{Name: p.GetStore(), Kind: serverStore}})
		}
		r.cacheIndex.SetCapacity(slot, p.GetCacheTokens())
		r.storeRates[p.GetStore()] = float64(p.GetTransferTokensPerSecond())
		r.stores = append(r.stores, store{slot: slot, address: p.GetStore(), zone: p.GetZone()})
	}
}
