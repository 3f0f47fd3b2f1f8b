package masticschedule

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticprompt"
	"masticladder/masticproto"
	"masticladder/masticroute"
	"masticladder/masticview"
)

// The load of a site with 27 entry hosts, 89 engines and three stores.
const (
	prefixHosts      = 27
	prefixEngines    = 89
	prefixStores     = 3
	prefixRate       = 57.4
	prefixPrefixes   = 1500
	prefixSkew       = 0.75
	sharedLength     = 13_300
	ownLength        = 3_720
	engineSpeed      = 36_700.0
	engineLinkRate   = 2_513_000.0
	storeLinkRate    = 353_000.0
	enginePrompts    = 8
	prefixDecode     = 100 * time.Millisecond
	prefixTarget     = 800 * time.Millisecond
	prefixBudget     = 8 * time.Second
	prefixLength     = 30 * time.Second
	weightsPeriod    = 6 * time.Second
	reportDelay      = 12 * time.Millisecond
	reportPeriod     = 80 * time.Millisecond
	maxQueuedTraffic = 2 * time.Second
	burstPeriod      = 7 * time.Second
	burstLength      = 1500 * time.Millisecond
	burstFactor      = 2.6
)

var prefixStart = time.UnixMilli(1_000_000)

// prefixEvent is something that happens at a time of a replay.
type prefixEvent struct {
	at       time.Time
	sequence int
	do       func(now time.Time)
}

type prefixEvents []prefixEvent

func (e prefixEvents) Len() int { return len(e) }
func (e prefixEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e prefixEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *prefixEvents) Push(x any)   { *e = append(*e, x.(prefixEvent)) }
func (e *prefixEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// prefixLink transfers one prompt after the other.
type prefixLink struct {
	rate float64
	free time.Time
}

// transfer returns when a transfer that is asked for at now has ended, and false if it is not begun.
func (l *prefixLink) transfer(now time.Time, tokens float64) (time.Time, bool) {
	if l.free.Sub(now) > maxQueuedTraffic {
		return time.Time{}, false
	}
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(tokens / l.rate * float64(time.Second)))
	return l.free, true
}

// prefixServer is an engine or a store. prefixes are those in its cache, the last used one last.
type prefixServer struct {
	link     prefixLink
	speed    float64
	free     time.Time
	prefixes []int
	most     int
}

func (s *prefixServer) has(prefix int) bool { return slices.Contains(s.prefixes, prefix) }

func (s *prefixServer) use(prefix int) {
	s.prefixes = slices.DeleteFunc(s.prefixes, func(p int) bool { return p == prefix })
	s.prefixes = append(s.prefixes, prefix)
	if len(s.prefixes) > s.most {
		s.prefixes = s.prefixes[1:]
	}
}

type prefixHost struct {
	name       string
	scheduler  *Scheduler
	tickets    map[Ticket]int
	reportedAt time.Time
	due        bool
}

// prefixReplay runs hosts against stand-ins of engines and stores in injected time. An engine looks a prompt up in
// its cache when it arrives, and computes one prompt after the other.
type prefixReplay struct {
	events   prefixEvents
	sequence int
	random   *rand.Rand
	hosts    []*prefixHost
	servers  map[string]*prefixServer
	epoch    int
	ticket   Ticket
	// begun are the prefixes that an engine has begun to read under the present weights.
	begun map[int]bool
	// computed and again are the prefilled tokens, and those of them that were read before; first, repeats,
	// inTarget and done count requests.
	computed, again                 float64
	first, repeats, inTarget, ended int
	storeFetches, engineFetches     int
}

func (r *prefixReplay) at(t time.Time, do func(now time.Time)) {
	r.sequence++
	heap.Push(&r.events, prefixEvent{t, r.sequence, do})
}

func newPrefixReplay(seed uint64) *prefixReplay {
	r := &prefixReplay{random: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*prefixServer{}, begun: map[int]bool{}}
	for i := range prefixEngines {
		r.servers[engineAddress(i)] = &prefixServer{
			link: prefixLink{rate: engineLinkRate}, speed: engineSpeed * []float64{0.6, 1, 1.6}[i%3], most: enginePrompts,
		}
	}
	for i := range prefixStores {
		r.servers[storeAddress(i)] = &prefixServer{link: prefixLink{rate: storeLinkRate}, most: 400}
	}
	for i := range prefixHosts {
		router := masticroute.New(masticroute.WithSharedLoad(), masticroute.WithSeed(seed+uint64(i)), masticroute.WithHost(fmt.Sprint("h", i)))
		r.hosts = append(r.hosts, &prefixHost{name: fmt.Sprint("h", i), scheduler: New(router), tickets: map[Ticket]int{}})
	}
	return r
}

func engineAddress(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }
func storeAddress(i int) string  { return fmt.Sprintf("10.0.9.%d:80", i+1) }

func (r *prefixReplay) setView(now time.Time) {
	document := &masticproto.Document{Number: 1, Pools: []*masticproto.Pool{
		{Name: "pool", Engine: true, CacheTokens: 137_269, TransferTokensPerSecond: int64(engineLinkRate)},
	}}
	for i := range prefixStores {
		document.Pools = append(document.Pools, &masticproto.Pool{Name: fmt.Sprint("store", i), Store: storeAddress(i), CacheTokens: 400 * (sharedLength + ownLength), TransferTokensPerSecond: int64(storeLinkRate)})
	}
	change := &masticproto.ViewChange{Document: document}
	for i := range prefixEngines {
		change.Servers = append(change.Servers, masticview.Server{
			Name: fmt.Sprint("e", i), Kind: masticview.ServerEngine, URL: "http://" + engineAddress(i), Slots: 16,
			Models: []string{"m"}, Service: "pool", WeightsVersion: fmt.Sprint(1 + r.epoch), State: masticview.ServerActive,
		}.ToProto())
	}
	v, err := masticview.View{}.Apply(change, now)
	if err != nil {
		panic(err)
	}
	for _, h := range r.hosts {
		h.scheduler.SetView(now, v)
	}
}

// newWeights makes all cached prompts void.
func (r *prefixReplay) newWeights(now time.Time) {
	r.epoch++
	clear(r.begun)
	for _, s := range r.servers {
		s.prefixes = nil
	}
	r.setView(now)
	r.at(now.Add(weightsPeriod), r.newWeights)
}

// drawPrefix draws a prefix: the n-th is asked for in proportion to n to the power of -prefixSkew.
func (r *prefixReplay) drawPrefix() int {
	return int(math.Pow(r.random.Float64(), 1/(1-prefixSkew)) * prefixPrefixes)
}

func (r *prefixReplay) arrival(now time.Time) {
	rate := prefixRate
	if now.Sub(prefixStart)%burstPeriod < burstLength {
		rate *= burstFactor
	}
	r.at(now.Add(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second))), r.arrival)
	h, prefix := r.hosts[r.random.IntN(len(r.hosts))], r.drawPrefix()
	r.ticket++
	h.tickets[r.ticket] = prefix
	prompt := masticprompt.Cut([]masticcall.Level{
		{Role: "part", Text: fmt.Sprint("prefix", prefix), Tokens: sharedLength}, {Role: "part", Text: fmt.Sprint("own", r.ticket), Tokens: ownLength},
	})
	h.scheduler.Submit(now, r.ticket, masticcall.Request{
		ID: fmt.Sprint(r.ticket), Weight: 1, Model: masticview.PoolModel("pool", "m"), Class: masticview.ClassLong, Weights: "m",
		PromptTokens: prompt.Tokens(), FirstTokenDeadline: now.Add(prefixTarget), Deadline: now.Add(prefixBudget),
	}, prompt)
	r.take(now, h)
}

// take runs the requests that h has assigned.
func (r *prefixReplay) take(now time.Time, h *prefixHost) {
	for _, o := range h.scheduler.Outcomes() {
		if o.Err != nil {
			r.ended++
			continue
		}
		r.run(now, h, &o)
		r.report(now, h)
	}
}

// run computes a request on its engine.
func (r *prefixReplay) run(now time.Time, h *prefixHost, o *Outcome) {
	s, prefix, ticket, epoch := r.servers[o.Server.Address()], h.tickets[o.Ticket], o.Ticket, r.epoch
	arrivedAt := now.Add(-o.Queued)
	tokens, ready := float64(ownLength), now
	if r.begun[prefix] {
		r.repeats++
	} else {
		r.first++
	}
	if !s.has(prefix) {
		var fetched bool
		if ready, fetched = r.fetch(now, o.Decision.Fetch, prefix); !fetched {
			tokens += sharedLength
			if r.begun[prefix] {
				r.again += sharedLength
			}
			ready = now
		}
	}
	r.begun[prefix] = true
	r.computed += tokens
	s.free = latest(s.free, ready).Add(time.Duration(tokens / s.speed * float64(time.Second)))
	r.at(s.free, func(now time.Time) {
		if epoch == r.epoch {
			s.use(prefix)
			r.save(now, o.Decision.Save, prefix)
		}
		r.ended++
		if now.Sub(arrivedAt) <= prefixTarget {
			r.inTarget++
		}
		h.scheduler.FirstToken(now, ticket)
		r.report(now, h)
		r.take(now, h)
	})
	r.at(s.free.Add(prefixDecode), func(now time.Time) {
		h.scheduler.Done(now, ticket, masticcall.Result{CachedUnknown: true})
		r.take(now, h)
	})
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func (r *prefixReplay) fetch(now time.Time, address string, prefix int) (time.Time, bool) {
	s, ok := r.servers[address]
	if !ok || !s.has(prefix) {
		return time.Time{}, false
	}
	s.use(prefix)
	at, ok := s.link.transfer(now, sharedLength)
	if s.speed == 0 {
		r.storeFetches++
	} else {
		r.engineFetches++
	}
	return at, ok
}

func (r *prefixReplay) save(now time.Time, address string, prefix int) {
	s, ok := r.servers[address]
	if !ok || s.has(prefix) {
		return
	}
	if at, ok := s.link.transfer(now, sharedLength+ownLength); ok {
		epoch := r.epoch
		r.at(at, func(time.Time) {
			if epoch == r.epoch {
				s.use(prefix)
			}
		})
	}
}

// report sends the report of h to the other hosts soon.
func (r *prefixReplay) report(now time.Time, h *prefixHost) {
	if !h.due {
		h.due = true
		r.at(latest(now, h.reportedAt.Add(10*time.Millisecond)), func(now time.Time) { r.sendReport(now, h) })
	}
}

func (r *prefixReplay) sendReport(now time.Time, h *prefixHost) {
	h.due, h.reportedAt = false, now
	p := h.scheduler.TakeOwnReport(h.name)
	for _, other := range r.hosts {
		if other != h {
			r.at(now.Add(reportDelay), func(now time.Time) {
				other.scheduler.ApplyPeerReport(now, p)
				r.take(now, other)
			})
		}
	}
}

func (r *prefixReplay) regularReports(now time.Time) {
	for _, h := range r.hosts {
		if now.Sub(h.reportedAt) >= reportPeriod {
			r.report(now, h)
		}
		h.scheduler.Poll(now)
		r.take(now, h)
	}
	r.at(now.Add(20*time.Millisecond), r.regularReports)
}

func runPrefixReplay(seed uint64) *prefixReplay {
	r := newPrefixReplay(seed)
	start := prefixStart
	r.setView(start)
	r.at(start, r.arrival)
	r.at(start, r.regularReports)
	r.at(start.Add(weightsPeriod), r.newWeights)
	for len(r.events) > 0 && r.events[0].at.Before(start.Add(prefixLength)) {
		e := heap.Pop(&r.events).(prefixEvent)
		e.do(e.at)
	}
	return r
}

// TestSharedPartsAreNotReadAgain guards against shared parts of prompts that are read a second time
// although an engine has or reads them: fetches went to stores that did not have them yet.
func TestSharedPartsAreNotReadAgain(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(2) {
		r := runPrefixReplay(seed + 1)
		t.Logf("seed %d: first %d, repeats %d, ended %d, in target %.3f, computed %.2f M tokens, again %.3f, fetches from stores %d, from engines %d",
			seed+1, r.first, r.repeats, r.ended, float64(r.inTarget)/float64(r.ended), r.computed/1e6, r.again/r.computed, r.storeFetches, r.engineFetches)
		c.Check(r.again/r.computed < maxReadAgain, qt.IsTrue)
		c.Check(float64(r.inTarget)/float64(r.ended) > minInTarget, qt.IsTrue)
	}
}

// maxReadAgain is the largest share of shared parts that are read again in the computed tokens, minInTarget
// the least share of requests with their first token in time.
const (
	maxReadAgain = 0.02
	minInTarget  = 0.97
)
