package masticassign

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticbucket"
	"masticladder/masticcall"
	"masticladder/masticdispatch"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticroute"
	"masticladder/masticshard"
	"masticladder/masticview"
)

// Figures of the site that is replayed: 87 entry hosts, 21 of them strong, and 44 engines.
const (
	siteHosts, siteStrong = 87, 21
	siteEngines           = 44
	engineSlots           = 16
	engineQueue           = 48
	// engineSpeed is the mean prefill speed in tokens per second.
	engineSpeed = 93_000
	sitePool    = "advisor/saw"
	// hotWorkspace is the workspace that sends at several times its usual rate.
	hotWorkspace = "hot"
	siteDelay    = time.Millisecond
)

// The processor time of a strong host beside its callers is enough for 1,250 questions a second; a weak host has three tenths
// of that. A question that is read and not looked at costs a fifth, a charge as well.
const (
	questionCost = 640 * time.Microsecond
	readCost     = 160 * time.Microsecond
)

// kind is a kind of requests.
type kind struct {
	class          masticview.Class
	shared, own    int64
	prefixes       int
	target, budget time.Duration
	decode         time.Duration
}

var (
	quickKind = kind{masticview.ClassQuick, 92, 291, 200, 400 * time.Millisecond, 4 * time.Second, 20 * time.Millisecond}
	longKind  = kind{masticview.ClassLong, 13_300, 3720, 400, 1200 * time.Millisecond, 6 * time.Second, 52 * time.Millisecond}
)

// processor is the processor time of a host, which does one thing after the other.
type processor struct {
	mutex  sync.Mutex
	freeAt time.Time
	// factor is the time that a strong host's second takes.
	factor float64
}

func (p *processor) use(cost time.Duration) {
	now := time.Now()
	p.mutex.Lock()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(cost) * p.factor))
	wait := p.freeAt.Sub(now)
	p.mutex.Unlock()
	time.Sleep(wait)
}

// siteHost is one entry host.
type siteHost struct {
	*masticdispatch.Dispatcher
	name    string
	cpu     processor
	limiter *masticbucket.Limiter
	server  *Server
	clock   clock
	ended   atomic.Bool
}

func (h *siteHost) run() { _ = h.Dispatcher.Run() }

// AssignFromShard takes the processor time of an assignment.
func (h *siteHost) AssignFromShard(ctx context.Context, q masticcall.ShardRequest) masticcall.ShardAssignment {
	h.cpu.use(questionCost)
	return h.Dispatcher.AssignFromShard(ctx, q)
}

// engine computes one prompt after the other.
type engine struct {
	mutex   sync.Mutex
	speed   float64
	running int
	freeAt  time.Time
	cached  map[string]bool
}

// compute returns when the first token comes, false if the queue is full.
func (e *engine) compute(now time.Time, k kind, prefix string) (time.Time, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.running >= engineSlots+engineQueue {
		return time.Time{}, false
	}
	e.running++
	tokens := k.own
	if !e.cached[prefix] {
		tokens += k.shared
		e.cached[prefix] = true
	}
	if e.freeAt.Before(now) {
		e.freeAt = now
	}
	e.freeAt = e.freeAt.Add(time.Duration(float64(tokens) / e.speed * float64(time.Second)))
	return e.freeAt, true
}

func (e *engine) done() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running--
}

// site replays a load without a network. It implements masticcall.Coordinators, masticcall.Keepers and
// masticdispatch.LoadReporter.
type site struct {
	hosts   map[string]*siteHost
	names   []string
	engines map[string]*engine
	view    masticview.View
	start   time.Time
	random  *rand.Rand
	done    sync.WaitGroup

	mutex    sync.Mutex
	outcomes []outcome
}

// outcome is how a request ended; at is when it came.
type outcome struct {
	at              time.Time
	inTarget, right bool
	why             string
}

func newSite(random *rand.Rand) *site {
	s := &site{hosts: map[string]*siteHost{}, engines: map[string]*engine{}, start: time.Now(), random: random}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	for i := range siteHosts {
		name := fmt.Sprintf("10.0.0.%d:7600", i)
		weight := int64(144)
		if i < siteStrong {
			weight = 480
		}
		s.view = s.view.WithHost(masticview.Host{Name: name, Address: name, Peer: name, Zone: "z", Weight: weight, State: masticview.HostLive})
		s.names = append(s.names, name)
		h := &siteHost{name: name, cpu: processor{factor: 480 / float64(weight)}, clock: newClock()}
		h.Dispatcher = masticdispatch.New(masticdispatch.WithHost(name), masticdispatch.WithSharedLoad(), masticdispatch.WithSeed(uint64(i)),
			masticdispatch.WithCoordinators(s), masticdispatch.WithLoadReporter(s), masticdispatch.WithLog(logrus.NewEntry(log)))
		keeper := masticbucket.NewKeeper(name, limitOf)
		h.limiter = masticbucket.NewLimiter(name, keeper, s, log)
		h.server = NewServer(h, WithKeeper(keeper))
		s.hosts[name] = h
		go h.run()
	}
	for i := range siteEngines {
		name := fmt.Sprintf("i-%08d", i)
		s.view = s.view.WithServer(masticview.Server{
			Name: name, Kind: masticview.ServerEngine, Service: "advisor", Models: []string{"saw"}, State: masticview.ServerActive,
			WeightsVersion: "2", Slots: engineSlots, URL: "http://" + name,
		})
		s.engines[name] = &engine{speed: engineSpeed * []float64{0.6, 1, 1.6}[i%3], cached: map[string]bool{}}
	}
	for _, h := range s.hosts {
		h.SetView(s.view)
		h.limiter.SetView(s.view)
	}
	return s
}

// limitOf gives the hot workspace six times its usual rate, and all others more than they use.
func limitOf(workspace string) masticbucket.Limit {
	if workspace == hotWorkspace {
		return masticbucket.Limit{RateTokensPerSecond: 6 * hotPerSecond * 383, BurstTokens: 12 * hotPerSecond * 383}
	}
	return masticbucket.Limit{RateTokensPerSecond: 400_000, BurstTokens: 800_000}
}

// message is a call to another host, which takes processor time there even if its caller has stopped waiting.
type message struct {
	site    *site
	to      *siteHost
	request *masticproto.PeerRequest
	answer  chan *masticproto.PeerAnswer
}

func (m *message) run() {
	defer m.site.done.Done()
	time.Sleep(siteDelay)
	m.to.cpu.use(readCost)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := m.to.server.Answer(ctx, m.request)
	if err == nil && !m.to.ended.Load() {
		m.answer <- a
	}
}

// call puts a request to another host.
func (s *site) call(ctx context.Context, from, peer string, q *masticproto.PeerRequest) (*masticproto.PeerAnswer, error) {
	to := s.hosts[peer]
	if to.ended.Load() {
		return nil, masticerror.Wrap(syscall.ECONNREFUSED, masticerror.KindNoQuorum, "connect to %s", peer)
	}
	deadline, _ := ctx.Deadline()
	q.TimeoutMs = time.Until(deadline).Milliseconds()
	q.Sent = s.hosts[from].clock.sentAt(time.Now())
	m := &message{site: s, to: to, request: q, answer: make(chan *masticproto.PeerAnswer, 1)}
	s.done.Add(1)
	go m.run()
	select {
	case a := <-m.answer:
		return a, nil
	case <-ctx.Done():
		return nil, masticerror.Wrap(ctx.Err(), masticerror.KindOverloaded, "%s is late", peer)
	}
}

// Assign implements masticcall.Coordinators.
func (s *site) Assign(ctx context.Context, peer string, q masticcall.ShardRequest) (masticcall.ShardAssignment, error) {
	a, err := s.call(ctx, q.Host, peer, &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Assign{Assign: encodeRequest(time.Now(), q)}})
	if err != nil {
		return masticcall.ShardAssignment{}, err
	}
	return decodeAssignment(a.GetAssign()), nil
}

// Update implements masticcall.Coordinators.
func (s *site) Update(peer string, u masticcall.ShardUpdate) {
	if h := s.hosts[peer]; !h.ended.Load() {
		h.UpdateShard(u)
	}
}

// ReportLoad implements masticdispatch.LoadReporter.
func (s *site) ReportLoad(peer string, r masticroute.PeerReport) {
	if h := s.hosts[peer]; !h.ended.Load() {
		h.ApplyPeerReport(r)
	}
}

// Charge implements masticcall.Keepers.
func (s *site) Charge(ctx context.Context, peer string, q masticcall.Charge) (masticcall.ChargeAnswer, error) {
	a, err := s.call(ctx, s.names[0], peer, &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Charge{Charge: &masticproto.ChargeRequest{
		Workspace: q.Workspace, Tokens: q.Tokens, WaitUs: q.Wait.Microseconds(), SubstituteOf: uint32(q.SubstituteOf), Extra: q.Extra,
	}}})
	if err != nil {
		return masticcall.ChargeAnswer{}, err
	}
	p := a.GetCharge()
	return masticcall.ChargeAnswer{Kept: p.GetKept(), Admitted: p.GetAdmitted(), Delay: timeOf(p.GetDelayUs()), Extra: p.GetExtra()}, nil
}

// Refund implements masticcall.Keepers.
func (s *site) Refund(peer, workspace string, tokens int64) {
	s.hosts[peer].server.Receive(&masticproto.PeerRequest{Kind: &masticproto.PeerRequest_ChargeRefund{ChargeRefund: &masticproto.ChargeRefund{Workspace: workspace, Tokens: tokens}}})
}

// siteRequest is one request of a caller.
type siteRequest struct {
	site      *site
	kind      kind
	host      *siteHost
	workspace string
	number    uint64
	prefix    string
}

func (q *siteRequest) run() {
	defer q.site.done.Done()
	at := time.Now()
	inTarget, why := q.serve(at)
	q.site.mutex.Lock()
	defer q.site.mutex.Unlock()
	q.site.outcomes = append(q.site.outcomes, outcome{at, inTarget, q.workspace == hotWorkspace && why == "rate", why})
}

// serve returns whether the request was in target, else why not.
func (q *siteRequest) serve(at time.Time) (bool, string) {
	ctx, cancel := context.WithDeadline(context.Background(), at.Add(q.kind.budget))
	defer cancel()
	quotaCtx, cancelQuota := context.WithTimeout(ctx, 250*time.Millisecond)
	defer cancelQuota()
	if _, err := q.host.limiter.Admit(quotaCtx, q.workspace, q.kind.shared+q.kind.own, time.Now().Add(50*time.Millisecond)); err != nil {
		if isUnanswered(err) {
			return false, "keepers"
		}
		return false, "rate"
	}
	r := masticcall.Request{
		ID: fmt.Sprint(q.number), Workspace: q.workspace, Weight: 1, Model: sitePool, Class: q.kind.class, PromptTokens: q.kind.shared + q.kind.own,
		Levels:             []masticcall.Level{{Role: "part", Text: q.prefix, Tokens: q.kind.shared}, {Role: "part", Text: fmt.Sprint("own", q.number), Tokens: q.kind.own}},
		FirstTokenDeadline: at.Add(q.kind.target), Deadline: at.Add(q.kind.budget), ServerWaitDeadline: at.Add(q.kind.target), Digest: masticview.DigestOf([]byte(fmt.Sprint(q.number))),
	}
	for r.Attempt = range 2 {
		a, err := q.host.Acquire(ctx, r)
		if err != nil {
			return false, string(masticerror.KindOf(err))
		}
		first, ok := q.site.engines[a.Server().Name].compute(time.Now(), q.kind, q.prefix)
		if !ok {
			a.Done(time.Now(), masticcall.Result{Failure: queueFull, CachedUnknown: true})
			r.Avoid = append(r.Avoid, a.Server().Name)
			continue
		}
		time.Sleep(time.Until(first))
		a.FirstToken(time.Now())
		time.Sleep(q.kind.decode)
		q.site.engines[a.Server().Name].done()
		a.Done(time.Now(), masticcall.Result{CachedUnknown: true})
		if first.Sub(at) > q.kind.target {
			return false, "late"
		}
		return true, ""
	}
	return false, "queue full"
}

// queueFull is the failure of a request that an engine with a full queue rejected.
const queueFull = string(masticerror.KindOverloaded)

func isUnanswered(err error) bool { return errors.Is(err, masticcall.ErrUnanswered) }

const (
	usualPerSecond = 446
	hotPerSecond   = 360
	longPerSecond  = 36.7
)

// play lets requests arrive for a time, those of the hot workspace and long ones at multiples of their usual rates.
func (s *site) play(spell time.Duration, factor, longFactor float64) {
	for end := time.Now().Add(spell); time.Now().Before(end); {
		total := usualPerSecond + longPerSecond*longFactor + hotPerSecond*factor
		time.Sleep(time.Duration(s.random.ExpFloat64() / total * float64(time.Second)))
		q := &siteRequest{site: s, kind: quickKind, workspace: fmt.Sprint("w", s.random.IntN(12)), number: s.random.Uint64(), host: s.anyHost()}
		switch x := s.random.Float64() * total; {
		case x < hotPerSecond*factor:
			q.workspace = hotWorkspace
		case x < hotPerSecond*factor+longPerSecond*longFactor:
			q.kind = longKind
		}
		q.prefix = fmt.Sprint(q.kind.class, q.workspace, s.random.IntN(q.kind.prefixes))
		s.done.Add(1)
		go q.run()
	}
}

func (s *site) anyHost() *siteHost {
	for {
		if h := s.hosts[s.names[s.random.IntN(len(s.names))]]; !h.ended.Load() {
			return h
		}
	}
}

// share returns the share of the requests in target that came between two times after the start, without those of the hot
// workspace that were refused rightly, and counts the others by the reason.
func (s *site) share(from, to time.Duration) (float64, map[string]int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	in, all, why := 0, 0, map[string]int{}
	for _, o := range s.outcomes {
		if at := o.at.Sub(s.start); at < from || at >= to || o.right {
			continue
		}
		all++
		if o.inTarget {
			in++
			continue
		}
		why[o.why]++
	}
	return float64(in) / float64(max(1, all)), why
}

func (s *site) stop() {
	s.done.Wait()
	for _, h := range s.hosts {
		h.Stop(nil)
	}
	// Charges and expiries of credits end.
	time.Sleep(2 * time.Second)
}

// shards returns all shards.
func (s *site) shards() []masticshard.Shard {
	return masticshard.New(s.view.Hosts(), s.view.Servers(), nil).Rank(sitePool, 1)
}

// TestOverloadOfOneWorkspace replays the heaviest load of a site: a workspace at seven times its usual rate, and 2.6 times
// the usual long prompts, for 6.5 s. One coordinator
// for all engines was overloaded, gave no answers and lost its shard to others that were overloaded in turn; keepers of quotas gave no
// answers in time. Hosts end in some cases, in the middle of the overload.
func TestOverloadOfOneWorkspace(t *testing.T) {
	keepers := func(s *site) []string {
		var out []string
		for _, h := range masticbucket.NewDivision(s.view.Hosts()).Keepers(hotWorkspace) {
			out = append(out, h.Name)
		}
		return out
	}
	for _, x := range []struct {
		name  string
		ends  func(s *site) []string
		slows func(s *site) []string
		// during is the least share in target in the overload, after that from 2 s after its end.
		during, after float64
	}{
		{"all hosts run", nil, nil, 0.95, 0.99},
		{"a coordinator ends", func(s *site) []string { return []string{s.shards()[0].Coordinators[0].Name} }, nil, 0.95, 0.99},
		{"all coordinators of a shard end", func(s *site) []string {
			var out []string
			for _, h := range s.shards()[0].Coordinators {
				out = append(out, h.Name)
			}
			return out
		}, nil, 0.93, 0.99},
		{"a keeper ends", func(s *site) []string { return keepers(s)[:1] }, nil, 0.95, 0.99},
		{"a keeper is slow", nil, func(s *site) []string { return keepers(s)[:1] }, 0.95, 0.99},
		{"a coordinator is slow", nil, func(s *site) []string { return []string{s.shards()[0].Coordinators[0].Name} }, 0.93, 0.99},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newSite(rand.New(rand.NewPCG(6, 6)))
				s.play(time.Second, 1, 1)
				s.play(2*time.Second, 7, 2.6)
				if x.ends != nil {
					for _, name := range x.ends(s) {
						s.hosts[name].ended.Store(true)
					}
				}
				if x.slows != nil {
					for _, name := range x.slows(s) {
						s.hosts[name].cpu.slowDown(20)
					}
				}
				s.play(4500*time.Millisecond, 7, 2.6)
				s.play(4*time.Second, 1, 1)
				s.stop()
				const begin, end = time.Second, 7500 * time.Millisecond
				calm, _ := s.share(0, begin)
				during, why := s.share(begin, end)
				right, whyAfter := s.share(end, end+2*time.Second)
				after, whyLater := s.share(end+2*time.Second, time.Hour)
				c.Logf("in target: before %.3f, during %.3f %v, in the 2 s after %.3f %v, later %.3f %v", calm, during, why, right, whyAfter, after, whyLater)
				c.Check(calm >= 0.95, qt.IsTrue)
				c.Check(during >= x.during, qt.IsTrue)
				c.Check(after >= x.after, qt.IsTrue)
			})
		})
	}
}

func (p *processor) slowDown(factor float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.factor *= factor
}
