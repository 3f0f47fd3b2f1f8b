// Package masticroute chooses the backend server of a request. It predicts the time to the first
// token on a few candidates and takes the one with the lowest, after costs and credits.
package masticroute

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"masticladder/masticcache"
	"masticladder/mastichealth"
	"masticladder/masticlimit"
	"masticladder/masticprompt"
	"masticladder/masticproto"
	"masticladder/masticshard"
	"masticladder/masticview"
)

// Router holds one host's state of the backend servers. It is not safe for concurrent use.
type Router struct {
	servers []*server
	slots   map[string]masticcache.Slot
	// pools are the active engines by model.
	pools      map[string][]pool
	cacheIndex *masticcache.Index
	random     *rand.Rand
	// limits are the request rates that backend servers state, shared with the other hosts.
	limits *masticlimit.Sharer
	// comeBackAt is when the last refused request of a pool may come back, by model or service.
	comeBackAt map[string]time.Time
	lookup     masticcache.Lookup
	// engines is the number of active engines.
	engines int
	// shards is the division of the engines on large sites.
	shards *masticshard.Map
	// shared reports that hosts report their work to each other; see decideShared.
	shared bool
	// verified is set by WithVerifiedLeaving.
	verified bool
	// stores are the stores of cached prompts, transferSpeeds the speeds at which engines fetch
	// from them by pool, in tokens per second.
	stores         []store
	transferSpeeds map[string]float64
	// storeRates are the rates of the links of stores by address, in tokens per second.
	storeRates map[string]float64
	// links are the links of engines and stores by address.
	links map[string]*link
	// sources are those of the decision that is being made.
	sources []fetchSource
	// memoryTokens is the memory of an engine by pool, in tokens; document is that of the last
	// view.
	memoryTokens map[string]float64
	document     *masticproto.Document
	// storeHealth is the health of the stores by address.
	storeHealth map[string]*storeHealth
	// unsentTouches are the touches since the last report to other hosts.
	unsentTouches []Touch
	// finishedUnsent reports that unsentTouches has a prompt that an engine has read.
	finishedUnsent bool
	// finishedReadings counts the prompts of which this host learned that an engine has read them.
	finishedReadings uint64
	// unsentTerminated are the backend servers found terminated since the last report to other
	// hosts.
	unsentTerminated []string
	// meanSpeed is the moving mean of the smoothed prefill speeds of the backend servers, in tokens
	// per second; see updateMeanSpeed.
	meanSpeed float64
	// speedSamples is the number of values added to meanSpeed.
	speedSamples int
	// quickRequestShare is the moving share of the quick class in the requests sent.
	quickRequestShare float64
	// meanWork is the moving mean of the uncached tokens expected of a request when it is sent;
	// meanQuickWork is the same with requests of other classes counted as 0.
	meanWork, meanQuickWork float64
}

// pool is the engines of a model with the same version of its weights. It is not a
// masticdocument.Pool, which is what operators configure, nor a pool of masticquota.
type pool struct {
	version string
	ring    ring
	slots   []masticcache.Slot
	// shards are the slots by shard, from that with number 1 on.
	shards [][]masticcache.Slot
	// reserve are the slots reserved for the quick class.
	reserve []masticcache.Slot
}

// Option changes how New builds a Router.
type Option func(*Router)

// WithSeed sets the seed of the random candidates.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithSharedLoad makes the router decide by the work of all hosts, which ApplyPeerReport receives.
func WithSharedLoad() Option { return func(r *Router) { r.shared = true } }

// WithVerifiedLeaving makes checks tell which incarnation of a server stated that it is leaving; see Unverified. Without it,
// a restart that the view shows ends the statement.
func WithVerifiedLeaving() Option { return func(r *Router) { r.verified = true } }

// WithCacheIndex sets the index of the pieces that backend servers are expected to have cached.
func WithCacheIndex(index *masticcache.Index) Option {
	return func(r *Router) { r.cacheIndex = index }
}

// WithHost sets the name of this host, under which it shares the request rates of backend servers.
func WithHost(name string) Option {
	return func(r *Router) { r.limits = masticlimit.New(name, r.incarnationOf) }
}

// New returns a Router without backend servers.
func New(options ...Option) *Router {
	r := &Router{
		slots:      map[string]masticcache.Slot{},
		pools:      map[string][]pool{},
		cacheIndex: masticcache.New(),
		meanSpeed:  defaultSpeed,
		comeBackAt: map[string]time.Time{},
	}
	WithSeed(1)(r)
	WithHost("")(r)
	for _, o := range options {
		o(r)
	}
	return r
}

// SetView replaces the backend servers by those of v.
func (r *Router) SetView(v masticview.View) {
	r.loadDocument(v)
	seen := make([]bool, len(r.servers))
	changed := false
	servers, hosts := v.Servers(), v.Hosts()
	for _, i := range servers {
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
		s.listed = s.listed && ok
	}
	if r.shared {
		if m := masticshard.New(hosts, servers, r.shards); m != r.shards {
			r.shards, changed = m, true
		}
	}
	if changed {
		r.pools = r.newPools()
	}
	r.setLimitHosts(hosts)
}

// Shards returns the division of the engines, nil if they are not divided.
func (r *Router) Shards() *masticshard.Map { return r.shards }

// setServer adds or updates one backend server and reports whether the pools must be rebuilt.
func (r *Router) setServer(i masticview.Server) bool {
	slot, ok := r.slots[i.Name]
	if !ok {
		slot = masticcache.Slot(len(r.servers))
		r.slots[i.Name] = slot
		r.servers = append(r.servers, &server{info: i})
	}
	s := r.servers[slot]
	before, wasActive := s.info, s.active
	sameWeights := before.WeightsVersion == i.WeightsVersion && slices.Equal(before.ModelVersions, i.ModelVersions)
	if before.URL != i.URL || !sameWeights || before.Incarnation != i.Incarnation {
		r.cacheIndex.Reset(slot)
		if r.shared {
			// Failures of the former incarnation or weights say nothing about the new ones.
			s.peerFailures, s.health, s.rejections = peerFailures{}, mastichealth.Server{}, rejections{}
		}
	}
	switch {
	case !r.shared && before.State != i.State:
		// Where operators name the servers, their change of a state ends what the server stated before.
		s.notice = Notice{}
	case before.Incarnation != i.Incarnation:
		s.notice = s.notice.WithListing(i.Incarnation, i.StartedAt)
		if !r.verified {
			s.notice = s.notice.WithoutLeaving()
		}
	}
	s.info, s.listed = i, true
	if memoryTokens := r.memoryTokens[i.Service]; memoryTokens > 0 && memoryTokens != s.memoryTokens {
		s.memoryTokens = memoryTokens
		r.cacheIndex.SetCapacity(slot, int64(memoryTokens))
	}
	s.active = i.AcceptsAny()
	return s.active != wasActive || before.Kind != i.Kind || !sameWeights || before.State != i.State ||
		before.LoadingModel != i.LoadingModel || !slices.Equal(before.Models, i.Models)
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
			if !s.info.Accepts(m) {
				continue
			}
			version := s.info.VersionOf(m)
			if s.info.Service != "" {
				m = masticview.PoolModel(s.info.Service, m)
			}
			byVersion := getOrCreate(names, m)
			bySlot := getOrCreate(byVersion, version)
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
			p.shards = r.newShards(m, p.slots)
			out[m] = append(out[m], p)
		}
		slices.SortFunc(out[m], func(a, b pool) int {
			return cmp.Or(cmp.Compare(b.versionNumber(), a.versionNumber()), int(a.slots[0]-b.slots[0]))
		})
	}
	return out
}

// newShards returns the slots of a pool by shard.
func (r *Router) newShards(model string, slots []masticcache.Slot) [][]masticcache.Slot {
	out := make([][]masticcache.Slot, r.shards.Shards(model))
	for _, slot := range slots {
		if len(out) > 0 {
			n := masticshard.Of(r.servers[slot].info.Name, len(out))
			out[n-1] = append(out[n-1], slot)
		}
	}
	return out
}

func getOrCreate[K, J comparable, T any](m map[K]map[J]T, k K) map[J]T {
	c, ok := m[k]
	if !ok {
		c = map[J]T{}
		m[k] = c
	}
	return c
}

// Serves reports whether an active backend server serves model.
func (r *Router) Serves(model string) bool { return len(r.pools[model]) > 0 }

// Eligible reports whether an active engine that serves q.Model is not in q.Avoid and has software that q
// allows. It does not check q's other conditions, such as its versions, nor whether the engine is usable now.
func (r *Router) Eligible(q *Query) bool {
	for _, p := range r.pools[q.Model] {
		for _, slot := range p.slots {
			if s := r.servers[slot].info; !slices.Contains(q.Avoid, s.Name) && q.Software.Allows(s.Software) {
				return true
			}
		}
	}
	return false
}

// Server returns the backend server of slot as in the last view.
func (r *Router) Server(slot masticcache.Slot) masticview.Server { return r.servers[slot].info }

// Slot returns the slot of the named backend server.
func (r *Router) Slot(name string) (masticcache.Slot, bool) {
	slot, ok := r.slots[name]
	return slot, ok
}

// ApplyLoadReport applies a load report. It ignores reports of unknown servers and of replaced
// incarnations.
func (r *Router) ApplyLoadReport(now time.Time, report LoadReport) {
	slot, ok := r.slots[report.Server]
	if !ok || !r.ObserveIncarnation(slot, report.Incarnation) {
		return
	}
	r.servers[slot].load.applyReport(report)
}

// ApplyCacheEvents applies a batch of cache events of the named incarnation.
func (r *Router) ApplyCacheEvents(now time.Time, name, incarnation string, batch masticcache.Batch) masticcache.Applied {
	slot, ok := r.slots[name]
	if !ok || !r.ObserveIncarnation(slot, incarnation) {
		return masticcache.Applied{Late: len(batch.Events)}
	}
	return r.cacheIndex.Apply(now, slot, batch)
}

// RecordProbe updates the health of the named backend server by a probe; alive reports whether it
// answered. A success counts only if incarnation was not replaced.
func (r *Router) RecordProbe(now time.Time, name, incarnation string, alive bool) {
	slot, ok := r.slots[name]
	if !ok {
		return
	}
	if !alive {
		r.servers[slot].health.RecordConnectionFailure(now)
		return
	}
	if r.ObserveIncarnation(slot, incarnation) {
		r.servers[slot].health.RecordProbeSuccess(now)
	}
}

// ObserveIncarnation records the incarnation that the backend server reported. A new one resets
// the cache index and the load report of slot. It reports false for an incarnation that was
// replaced.
func (r *Router) ObserveIncarnation(slot masticcache.Slot, incarnation string) bool {
	s := r.servers[slot]
	switch s.health.ObserveIncarnation(incarnation) {
	case mastichealth.Stale:
		return false
	case mastichealth.Replaced:
		r.cacheIndex.Reset(slot)
		s.load.resetReport()
		s.notice = s.notice.WithListing("", time.Time{}).WithoutLeaving()
	}
	return true
}

// Work is one request's work on a backend server.
type Work struct {
	Slot  masticcache.Slot
	Epoch masticcache.Epoch
	Class masticview.Class
	// Uncached is the prefill work before the first token, in tokens.
	Uncached float64
	// Ahead is the work predicted to precede it, in tokens.
	Ahead float64
	// Tokens is the length of the prompt.
	Tokens int64
	// Held is the memory of the engine that it needs, in tokens.
	Held    float64
	Trial   masticcache.HitPrediction
	Pieces  []masticprompt.Piece
	Suspect bool
	// Save is the address of the store that receives the pieces once they are computed.
	Save string
	// Fetch is the address from which the backend server fetches, Predicted the predicted time
	// to the first token.
	Fetch     string
	Predicted time.Duration
	// StartedAt is when the work was sent.
	StartedAt time.Time
	// FirstTokenAt is zero before the first token.
	FirstTokenAt time.Time
}
