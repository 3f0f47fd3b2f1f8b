// Package masticroute predicts the time to the first token on a few candidates and
// chooses the backend server with the least.
package masticroute

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"masticladder/masticcache"
	"masticladder/mastichealth"
	"masticladder/masticprompt"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// Router holds what one host knows of the backend servers. It is not safe for concurrent use.
type Router struct {
	servers []*server
	slots   map[string]masticcache.Slot
	// pools are the active engines by model.
	pools   map[string][]pool
	beliefs *masticcache.Beliefs
	source  *rand.Rand
	lookup  masticcache.Lookup
	// engines is the number of active engines.
	engines int
	// shared reports that other hosts tell of their work; see decideShared.
	shared bool
	// stores are the stores of cached prompts, transfer how fast engines fetch from them.
	stores   []store
	transfer map[string]float64
	// memory is the room of an engine by its pool, in tokens; document is that of the view.
	memory   map[string]float64
	document *masticproto.Document
	// storeHealth has the health of the stores by address.
	storeHealth map[string]*storeHealth
	// touched are the uses of pieces that other hosts were not told of.
	touched []Touch
	// ended are the backend servers found ended that other hosts were not told of.
	ended []string
	// speeds is the moving mean of the measured prefill speeds.
	speeds float64
	// speedsSeen is the number of measurements in that mean.
	speedsSeen int
	// quickShare is the moving share of the quick class in the requests sent.
	quickShare float64
	// workMean and urgentMean are the moving means of the work of a request, in tokens:
	// of all classes, and with that of the quick class alone.
	workMean, urgentMean float64
}

// pool is the engines of a model that hold the same version of its weights.
type pool struct {
	version string
	ring    ring
	slots   []masticcache.Slot
	// reserve are the slots kept for the quick class.
	reserve []masticcache.Slot
}

// Option changes how New builds a Router.
type Option func(*Router)

// WithSeed sets the seed of the random candidates.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.source = rand.New(rand.NewPCG(seed, 0)) }
}

// WithSharedLoad makes the router decide by the work of all hosts, of which Peer tells.
func WithSharedLoad() Option { return func(r *Router) { r.shared = true } }

// WithBeliefs sets the cache beliefs.
func WithBeliefs(b *masticcache.Beliefs) Option { return func(r *Router) { r.beliefs = b } }

// New returns a Router without backend servers.
func New(options ...Option) *Router {
	r := &Router{
		slots:   map[string]masticcache.Slot{},
		pools:   map[string][]pool{},
		beliefs: masticcache.New(),
		speeds:  priorSpeed,
	}
	WithSeed(1)(r)
	for _, o := range options {
		o(r)
	}
	return r
}

// SetView replaces the backend servers by those of v.
func (r *Router) SetView(v masticview.View) {
	r.setPools(v)
	seen := make([]bool, len(r.servers))
	changed := false
	for _, i := range v.Servers() {
		slot, ok := r.slots[i.Name]
		if ok {
			seen[slot] = true
		}
		changed = r.setServer(i) || changed
	}
	for slot, ok := range seen {
		s := r.servers[slot]
		if s.info.Kind == serverStore {
			continue
		}
		changed = changed || (!ok && s.active)
		s.active = s.active && ok
	}
	if changed {
		r.pools = r.newPools()
	}
}

// setServer takes one backend server and reports whether the pools depend on the change.
func (r *Router) setServer(i masticview.Server) bool {
	slot, ok := r.slots[i.Name]
	if !ok {
		slot = masticcache.Slot(len(r.servers))
		r.slots[i.Name] = slot
		r.servers = append(r.servers, &server{info: i})
	}
	s := r.servers[slot]
	before, wasActive := s.info, s.active
	if before.URL != i.URL || before.WeightsVersion != i.WeightsVersion || before.Incarnation != i.Incarnation {
		r.beliefs.Reset(slot)
		if r.shared {
			// What was found of the former run or weights says nothing of these.
			s.hearsay, s.health = hearsay{}, mastichealth.Server{}
		}
	}
	s.info = i
	if room := r.memory[i.Service]; room > 0 && room != s.memory {
		s.memory = room
		r.beliefs.SetCapacity(slot, int64(room))
	}
	s.active = i.State == masticview.ServerActive || i.State == ""
	return s.active != wasActive || before.Kind != i.Kind ||
		before.WeightsVersion != i.WeightsVersion || !slices.Equal(before.Models, i.Models)
}

func (r *Router) newPools() map[string][]pool {
	out := map[string][]pool{}
	r.engines = 0
	names := map[string]map[string]map[masticcache.Slot]string{}
	for n, s := range r.servers {
		if !s.active || s.info.Kind != masticview.ServerEngine {
			continue
		}
		r.engines++
		for _, m := range s.info.Models {
			if s.info.Service != "" {
				m = masticview.PoolModel(s.info.Service, m)
			}
			byVersion := child(names, m)
			bySlot := child(byVersion, s.info.WeightsVersion)
			bySlot[masticcache.Slot(n)] = s.info.Name
		}
	}
	for m, byVersion := range names {
		for v, bySlot := range byVersion {
			p := pool{version: v, ring: newRing(bySlot)}
			for slot := range bySlot {
				p.slots = append(p.slots, slot)
			}
			slices.Sort(p.slots)
			p.reserve = newReserve(m, p)
			out[m] = append(out[m], p)
		}
		slices.SortFunc(out[m], func(a, b pool) int {
			return cmp.Or(cmp.Compare(b.number(), a.number()), int(a.slots[0]-b.slots[0]))
		})
	}
	return out
}

func child[K, J comparable, T any](m map[K]map[J]T, k K) map[J]T {
	c, ok := m[k]
	if !ok {
		c = map[J]T{}
		m[k] = c
	}
	return c
}

// Serves reports whether an active backend server has model.
func (r *Router) Serves(model string) bool { return len(r.pools[model]) > 0 }

// Eligible reports whether an active backend server could run q once it is usable.
func (r *Router) Eligible(q *Query) bool {
	for _, p := range r.pools[q.Model] {
		for _, slot := range p.slots {
			if !slices.Contains(q.Avoid, r.servers[slot].info.Name) {
				return true
			}
		}
	}
	return false
}

// Server returns the backend server of slot as the view has it.
func (r *Router) Server(slot masticcache.Slot) masticview.Server { return r.servers[slot].info }

// Slot returns the slot of the named backend server.
func (r *Router) Slot(name string) (masticcache.Slot, bool) {
	slot, ok := r.slots[name]
	return slot, ok
}

// Report takes a load report.
func (r *Router) Report(now time.Time, report Report) {
	slot, ok := r.slots[report.Server]
	if !ok || !r.Incarnate(slot, report.Incarnation) {
		return
	}
	r.servers[slot].load.take(report)
}

// Events takes a batch of cache events of the named incarnation.
func (r *Router) Events(now time.Time, name, incarnation string, batch masticcache.Batch) masticcache.Applied {
	slot, ok := r.slots[name]
	if !ok || !r.Incarnate(slot, incarnation) {
		return masticcache.Applied{Late: len(batch.Events)}
	}
	return r.beliefs.Apply(now, slot, batch)
}

// Probe takes the result of a probe.
func (r *Router) Probe(now time.Time, name, incarnation string, alive bool) {
	slot, ok := r.slots[name]
	if !ok {
		return
	}
	if !alive {
		r.servers[slot].health.Break(now)
		return
	}
	if r.Incarnate(slot, incarnation) {
		r.servers[slot].health.Confirm(now)
	}
}

// Incarnate records the incarnation named by the backend server and voids what was
// known of another one. It reports false for an incarnation that has ended.
func (r *Router) Incarnate(slot masticcache.Slot, incarnation string) bool {
	s := r.servers[slot]
	switch s.health.Incarnate(incarnation) {
	case mastichealth.Stale:
		return false
	case mastichealth.Replaced:
		r.beliefs.Reset(slot)
		s.load.forget()
	}
	return true
}

// Work is one request's work on a backend server.
type Work struct {
	Slot  masticcache.Slot
	Epoch masticcache.Epoch
	Class masticview.Class
	// Uncached is the work before the first token, in tokens.
	Uncached float64
	// Ahead is the work that was predicted to be before it, in tokens.
	Ahead float64
	// Tokens is the length of the prompt.
	Tokens  int64
	Trial   masticcache.Trial
	Pieces  []masticprompt.Piece
	Suspect bool
	// Save is the store that gets the pieces once they are read.
	Save string
	// Fetch is where the server fetches from, Predicted the predicted time to the first token.
	Fetch     string
	Predicted time.Duration
	// StartedAt is when the work was sent.
	StartedAt time.Time
	// FirstTokenAt is zero before the first token.
	FirstTokenAt time.Time
}
