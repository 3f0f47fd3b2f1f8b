package masticroute

import (
	"time"

	"masticladder/masticcache"
	"masticladder/masticprompt"
	"masticladder/masticview"
)

const (
	// peerAge is how long another host's report is worth anything.
	peerAge = 1200 * time.Millisecond
	// speedBlend is the weight of another host's measurement of a speed.
	speedBlend = 0.1
	// maxTouches bounds the uses of pieces between two reports.
	maxTouches = 256
	// serverStore is the kind of the entry that stands for a store among the servers.
	serverStore masticview.ServerKind = "store"
)

// ServerLoad is one host's work on one backend server, in tokens.
type ServerLoad struct {
	Server string
	// Tokens is the work before first tokens, Urgent the quick class's part of it.
	Tokens, Urgent float64
	// Held is the memory of the running requests.
	Held    float64
	Running int64
	// Speed is the measured prefill speed in tokens per second, zero where there is none.
	Speed float64
}

// Touch says that a backend server or store has used pieces of a prompt.
type Touch struct {
	Server string
	Pieces []masticprompt.Piece
}

// PeerReport is the work of one host on all backend servers.
type PeerReport struct {
	Host    string
	Servers []ServerLoad
	Touches []Touch
	// Ended are the backend servers that the host found ended or replaced.
	Ended []string
}

// peerLoad is another host's work on one backend server.
type peerLoad struct {
	tokens, urgent, held float64
	running              int64
	at                   time.Time
}

// peersNow returns the work of all other hosts whose reports are fresh.
func (l *load) peersNow(now time.Time) peerLoad {
	var sum peerLoad
	for _, p := range l.peers {
		if now.Sub(p.at) > peerAge {
			continue
		}
		sum.tokens += p.tokens
		sum.urgent += p.urgent
		sum.held += p.held
		sum.running += p.running
	}
	return sum
}

// Peer takes another host's report; it replaces that host's former one.
func (r *Router) Peer(now time.Time, report PeerReport) {
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
		s.load.peers[report.Host] = peerLoad{tokens: l.Tokens, urgent: l.Urgent, held: l.Held, running: l.Running, at: now}
		if s.load.speed == 0 {
			r.learnSpeeds(l.Speed)
		}
		s.load.blend(l.Speed)
	}
	r.hear(now, report)
	for _, t := range report.Touches {
		if slot, ok := r.slots[t.Server]; ok {
			r.beliefs.Touch(now, slot, r.beliefs.Epoch(slot), t.Pieces)
		}
	}
}

// blend takes another host's measurement of the speed.
func (l *load) blend(speed float64) {
	switch {
	case speed <= 0:
	case l.speed == 0:
		l.speed = speed
	default:
		l.speed += speedBlend * (speed - l.speed)
	}
}

// Own returns this host's work, and the uses of pieces since the last call.
func (r *Router) Own(host string) PeerReport {
	report := PeerReport{Host: host, Touches: r.touched, Ended: r.ended}
	r.touched, r.ended = nil, nil
	for _, s := range r.servers {
		if s.load.running == 0 {
			continue
		}
		report.Servers = append(report.Servers, ServerLoad{
			Server: s.info.Name, Tokens: s.load.own, Urgent: s.load.ownUrgent, Held: s.load.held,
			Running: int64(s.load.running), Speed: s.load.speed,
		})
	}
	return report
}

// touch records that slot used the pieces of a prompt that others may share, to tell other hosts.
func (r *Router) touch(now time.Time, slot masticcache.Slot, epoch masticcache.Epoch, pieces []masticprompt.Piece) {
	r.beliefs.Touch(now, slot, epoch, pieces)
	if !r.shared || len(r.touched) >= maxTouches {
		return
	}
	var tokens int64
	for _, p := range pieces {
		tokens += p.Tokens
	}
	if tokens >= minFetch {
		r.touched = append(r.touched, Touch{Server: r.servers[slot].info.Name, Pieces: pieces})
	}
}

// store is a store of cached prompts.
type store struct {
	slot          masticcache.Slot
	address, zone string
}

const (
	// storeOverrun is how much later than predicted a first token comes where its engine
	// waited for a store that is down: a dead source costs some hundred ms.
	storeOverrun = 250 * time.Millisecond
	// storeOverruns is the number of such first tokens in a row after which a store is taken
	// to be down, and storePause for how long it is left then.
	storeOverruns = 4
	storePause    = 3 * time.Second
)

// storeHealth judges a store by the first tokens of requests that were to fetch from it.
type storeHealth struct {
	overruns  int
	downUntil time.Time
}

func (h *storeHealth) observe(now time.Time, overrun time.Duration) {
	if overrun < storeOverrun {
		h.overruns = 0
		return
	}
	h.overruns++
	if h.overruns >= storeOverruns {
		h.overruns, h.downUntil = 0, now.Add(storePause)
	}
}

// storeUsable reports whether the store at address is not taken to be down.
func (r *Router) storeUsable(now time.Time, address string) bool {
	h := r.storeHealth[address]
	return h == nil || !now.Before(h.downUntil)
}

// observeStore judges the source of w by when its first token came.
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

// setPools takes the stores and the engines' links from the document of v.
func (r *Router) setPools(v masticview.View) {
	if !r.shared || v.Document() == r.document {
		return
	}
	r.document = v.Document()
	r.stores, r.transfer, r.memory = nil, map[string]float64{}, map[string]float64{}
	for _, p := range v.Document().GetPools() {
		if p.GetEngine() {
			r.transfer[p.GetName()] = float64(p.GetTransferTokensPerSecond())
			r.memory[p.GetName()] = float64(p.GetCacheTokens())
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
		r.beliefs.SetCapacity(slot, p.GetCacheTokens())
		r.stores = append(r.stores, store{slot: slot, address: p.GetStore(), zone: p.GetZone()})
	}
}
