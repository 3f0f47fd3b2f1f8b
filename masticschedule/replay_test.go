package masticschedule

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticprompt"
	"masticladder/masticproto"
	"masticladder/masticroute"
	"masticladder/masticview"
)

// The load of site H in its worst seconds, see docs/design/hard-load.md. Hosts know only their own work, as when no coordinator
// answers.
const (
	replayHosts   = 87
	replayEngines = 44
	replaySlots   = 16
	// replayQueue is the number of requests that wait at an engine, replayMemory its memory in tokens.
	replayQueue, replayMemory = 48, 137_100
	prefillPerMilli           = 93
	replayChunk               = 2048
	replayStep                = 3290 * time.Microsecond
	shortRate, longRate       = 806, 36.7
	// shortFactor is the factor of all short prompts while the workspace that sends 60 % of them sends 6.2 times as many.
	hotFactor               = 6.2
	shortFactor, longFactor = 0.4 + 0.6*hotFactor, 2.6
	overloadFrom            = 3500 * time.Millisecond
	overloadFor             = 6500 * time.Millisecond
	listDelay               = 1200 * time.Millisecond
	lossFor                 = 2 * time.Second
	replayFor               = 18 * time.Second
)

// replayOverloadEnd is when the last lost engines are listed again, after the end of the overload.
const replayOverloadEnd = 12*time.Second + listDelay

// siteCall is one request of a caller with all its attempts.
type siteCall struct {
	short               bool
	at, target, latest  time.Time
	prompt              masticprompt.Prompt
	prefix              string
	own, shared, output int
	host                int
	avoid               []string
	attempts, retries   int
	firstAt             time.Time
	ended               bool
}

// siteJob is an attempt at an engine.
type siteJob struct {
	call            *siteCall
	ticket          Ticket
	prefill, output int
	started         bool
}

// siteEngine runs requests in batches.
type siteEngine struct {
	name           string
	speed          float64
	up             bool
	incarnation    int
	running, queue []*siteJob
	stepping       bool
	// prefixes are the cached ones, the most recent last.
	prefixes []string
}

func (e *siteEngine) tokens() int {
	n := 0
	for _, j := range e.running {
		n += j.call.own + j.call.shared
	}
	return n
}

func (e *siteEngine) cached(prefix string) bool { return slices.Contains(e.prefixes, prefix) }

func (e *siteEngine) remember(prefix string) {
	e.prefixes = append(slices.DeleteFunc(e.prefixes, func(p string) bool { return p == prefix }), prefix)
	if n := len(e.prefixes); n > 5 {
		e.prefixes = e.prefixes[n-5:]
	}
}

// fill starts queued requests for which there is room.
func (e *siteEngine) fill() {
	for len(e.queue) > 0 && len(e.running) < replaySlots {
		j := e.queue[0]
		if len(e.running) > 0 && e.tokens()+j.call.own+j.call.shared > replayMemory {
			return
		}
		e.queue = e.queue[1:]
		j.prefill = j.call.own
		if !e.cached(j.call.prefix) {
			j.prefill += j.call.shared
		}
		e.running = append(e.running, j)
	}
}

// siteEvent is a function at a time.
type siteEvent struct {
	at    time.Time
	order int
	run   func(time.Time)
}

type siteEvents []siteEvent

func (q siteEvents) Len() int { return len(q) }
func (q siteEvents) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q siteEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *siteEvents) Push(x any)   { *q = append(*q, x.(siteEvent)) }
func (q *siteEvents) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// siteReplay is the simulated site.
type siteReplay struct {
	random  *rand.Rand
	events  siteEvents
	order   int
	hosts   []*Scheduler
	engines map[string]*siteEngine
	names   []string
	calls   []*siteCall
	tickets map[int]map[Ticket]*siteCall
	next    Ticket
	// errors counts the refusals by kind, rejected those of engines.
	errors   map[masticerror.Kind]int
	rejected int
	fresh    int
}

func newSiteReplay(c *qt.C, seed uint64) *siteReplay {
	r := &siteReplay{random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*siteEngine{}, tickets: map[int]map[Ticket]*siteCall{}, errors: map[masticerror.Kind]int{}}
	for i := range replayEngines {
		e := &siteEngine{name: fmt.Sprintf("engine%02d", i), speed: []float64{0.6, 1, 1.6}[i%3], up: true, incarnation: 1}
		r.engines[e.name] = e
		r.names = append(r.names, e.name)
	}
	for h := range replayHosts {
		s := New(masticroute.New(masticroute.WithSeed(seed+uint64(h)), masticroute.WithSharedLoad()))
		r.hosts = append(r.hosts, s)
		r.tickets[h] = map[Ticket]*siteCall{}
	}
	r.setView(c, start)
	return r
}

// setView gives all hosts the engines that are up.
func (r *siteReplay) setView(c *qt.C, now time.Time) {
	change := &masticproto.ViewChange{Document: &masticproto.Document{Number: 1, Pools: []*masticproto.Pool{{Name: "pool", Engine: true, CacheTokens: replayMemory}}}}
	for i, name := range r.names {
		if e := r.engines[name]; e.up {
			change.Servers = append(change.Servers, masticview.Server{
				Name: name, Kind: masticview.ServerEngine, URL: fmt.Sprintf("http://10.0.0.%d:80", i+1), Slots: replaySlots, Models: []string{"m"},
				Service: "pool", WeightsVersion: "1", State: masticview.ServerActive, Incarnation: fmt.Sprint(e.incarnation),
			}.ToProto())
		}
	}
	v, err := masticview.View{}.Apply(change, now)
	c.Assert(err, qt.IsNil)
	for h, s := range r.hosts {
		s.SetView(now, v)
		r.take(now, h)
	}
}

func (r *siteReplay) at(t time.Time, run func(time.Time)) {
	r.order++
	heap.Push(&r.events, siteEvent{t, r.order, run})
}

// arrive makes calls of one kind arrive, at a rate that depends on the time.
func (r *siteReplay) arrive(now time.Time, short bool) {
	rate := longRate
	if short {
		rate = shortRate
	}
	if since := now.Sub(start); since >= overloadFrom && since < overloadFrom+overloadFor {
		if short {
			rate *= shortFactor
		} else {
			rate *= longFactor
		}
	}
	r.at(now.Add(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second))), func(now time.Time) {
		if now.Sub(start) < replayFor {
			r.call(now, short)
			r.arrive(now, short)
		}
	})
}

func (r *siteReplay) call(now time.Time, short bool) {
	r.fresh++
	x := &siteCall{short: short, at: now, host: r.random.IntN(replayHosts), own: 3720, shared: 13_300, output: 13, target: now.Add(1200 * time.Millisecond), latest: now.Add(6 * time.Second)}
	x.prefix = fmt.Sprint("long", int(40*r.random.Float64()*r.random.Float64()))
	if short {
		x.own, x.shared, x.output, x.target, x.latest = 291, 92, 5, now.Add(400*time.Millisecond), now.Add(4*time.Second)
		x.prefix = r.shortPrefix(now)
	}
	x.own = max(20, int(float64(x.own)*(0.5+r.random.Float64())))
	x.prompt = masticprompt.Cut([]masticcall.Level{
		{Role: "part", Text: x.prefix, ID: x.prefix, Tokens: int64(x.shared)}, {Role: "part", Text: fmt.Sprint("own", r.fresh), ID: fmt.Sprint(r.fresh), Tokens: int64(x.own)},
	})
	r.calls = append(r.calls, x)
	r.submit(now, x)
}

// shortPrefix returns the shared part of a short prompt. All prompts of the workspace that sends 60 % of them have the same.
func (r *siteReplay) shortPrefix(now time.Time) string {
	hot := 0.6
	if since := now.Sub(start); since >= overloadFrom && since < overloadFrom+overloadFor {
		hot = hotFactor * hot / shortFactor
	}
	if r.random.Float64() < hot {
		return "hot"
	}
	return fmt.Sprint("short", r.random.IntN(20))
}

func (r *siteReplay) submit(now time.Time, x *siteCall) {
	r.next++
	x.attempts++
	class, wait := masticview.ClassLong, 200*time.Millisecond
	if x.short {
		class, wait = masticview.ClassQuick, 66*time.Millisecond
	}
	r.tickets[x.host][r.next] = x
	r.hosts[x.host].Submit(now, r.next, masticcall.Request{
		Weight: 1, Model: masticview.PoolModel("pool", "m"), Class: class, Levels: nil, PromptTokens: int64(x.own + x.shared), OutputTokens: int64(x.output),
		FirstTokenDeadline: x.target, Deadline: x.latest, ServerWaitDeadline: x.at.Add(wait), Avoid: x.avoid,
	}, x.prompt)
	r.take(now, x.host)
}

// take carries out the outcomes of a host.
func (r *siteReplay) take(now time.Time, host int) {
	for _, o := range r.hosts[host].Outcomes() {
		x := r.tickets[host][o.Ticket]
		if o.Err != nil {
			delete(r.tickets[host], o.Ticket)
			r.refuse(now, x, o.Err)
			continue
		}
		j := &siteJob{call: x, ticket: o.Ticket, output: x.output}
		r.at(now.Add(time.Millisecond), func(now time.Time) { r.reach(now, r.engines[o.Server.Name], j) })
	}
}

// refuse ends a call or repeats it after its Retry-After, as callers do.
func (r *siteReplay) refuse(now time.Time, x *siteCall, err *masticerror.Error) {
	r.errors[err.Kind()]++
	delay := err.RetryAfter()
	if x.retries > 0 || delay > x.latest.Sub(now)/3 {
		x.ended = true
		return
	}
	x.retries++
	x.attempts, x.avoid = 0, nil
	r.at(now.Add(delay), func(now time.Time) {
		x.host = r.random.IntN(replayHosts)
		r.submit(now, x)
	})
}

// reach brings an attempt to its engine.
func (r *siteReplay) reach(now time.Time, e *siteEngine, j *siteJob) {
	switch {
	case !e.up:
		r.fail(now, e, j, masticcall.Result{Failure: string(masticerror.KindBackendRefused), ServerEnded: true})
	case len(e.running) >= replaySlots && len(e.queue) >= replayQueue:
		r.rejected++
		r.fail(now, e, j, masticcall.Result{Failure: string(masticerror.KindBackendBusy)})
	default:
		e.queue = append(e.queue, j)
		r.step(now, e)
	}
}

// fail ends an attempt; the host sends the request on up to three times.
func (r *siteReplay) fail(now time.Time, e *siteEngine, j *siteJob, result masticcall.Result) {
	x := j.call
	delete(r.tickets[x.host], j.ticket)
	r.hosts[x.host].Done(now, j.ticket, result)
	r.take(now, x.host)
	x.avoid = append(x.avoid, e.name)
	if x.attempts >= 4 || !now.Before(x.latest) {
		r.refuse(now, x, masticerror.New(masticerror.KindOverloaded, "no backend server took the request"))
		return
	}
	r.submit(now, x)
}

// step starts a step of an engine unless one runs.
func (r *siteReplay) step(now time.Time, e *siteEngine) {
	if e.stepping || !e.up {
		return
	}
	e.fill()
	if len(e.running) == 0 {
		return
	}
	chunk, duration := replayChunk, replayStep
	work := 0
	for _, j := range e.running {
		n := min(chunk, j.prefill)
		j.prefill -= n
		chunk -= n
		work += n
	}
	duration = max(duration, time.Duration(float64(work)/prefillPerMilli*float64(time.Millisecond)))
	e.stepping = true
	incarnation := e.incarnation
	r.at(now.Add(time.Duration(float64(duration)/e.speed)), func(now time.Time) {
		if e.incarnation == incarnation {
			r.stepped(now, e)
		}
	})
}

// stepped ends a step: each request whose prefill is done gets a token.
func (r *siteReplay) stepped(now time.Time, e *siteEngine) {
	e.stepping = false
	left := e.running[:0:0]
	for _, j := range e.running {
		x := j.call
		if j.prefill == 0 {
			if !j.started {
				j.started = true
				e.remember(x.prefix)
				x.firstAt = now
				r.hosts[x.host].FirstToken(now, j.ticket)
			}
			j.output--
		}
		switch {
		case j.output == 0:
			x.ended = true
			delete(r.tickets[x.host], j.ticket)
			r.hosts[x.host].Done(now, j.ticket, masticcall.Result{CachedUnknown: true, ServerIncarnation: fmt.Sprint(e.incarnation)})
		case !now.Before(x.latest):
			x.ended = true
			delete(r.tickets[x.host], j.ticket)
			r.hosts[x.host].Done(now, j.ticket, masticcall.Result{Failure: string(masticerror.KindDeadline)})
		default:
			left = append(left, j)
			continue
		}
		r.take(now, x.host)
	}
	e.running = left
	e.queue = slices.DeleteFunc(e.queue, func(j *siteJob) bool {
		if now.Before(j.call.latest) {
			return false
		}
		j.call.ended = true
		r.hosts[j.call.host].Done(now, j.ticket, masticcall.Result{Failure: string(masticerror.KindDeadline)})
		return true
	})
	r.step(now, e)
}

// lose ends a third of the engines, and returns them after lossFor.
func (r *siteReplay) lose(c *qt.C, now time.Time) {
	r.random.Shuffle(len(r.names), func(i, j int) { r.names[i], r.names[j] = r.names[j], r.names[i] })
	lost := slices.Clone(r.names[:replayEngines/3])
	slices.Sort(r.names)
	for _, name := range lost {
		e := r.engines[name]
		e.up, e.stepping = false, false
		e.incarnation++
		jobs := append(e.running, e.queue...)
		e.running, e.queue, e.prefixes = nil, nil, nil
		for _, j := range jobs {
			r.fail(now, e, j, masticcall.Result{Failure: string(masticerror.KindStreamBroken), ServerEnded: true})
		}
	}
	r.at(now.Add(listDelay), func(now time.Time) { r.setView(c, now) })
	r.at(now.Add(lossFor), func(now time.Time) {
		for _, name := range lost {
			r.engines[name].up = true
		}
		r.at(now.Add(listDelay), func(now time.Time) { r.setView(c, now) })
	})
}

func (r *siteReplay) poll(now time.Time) {
	for h, s := range r.hosts {
		s.Poll(now)
		r.take(now, h)
	}
	if now.Sub(start) < replayFor+6*time.Second {
		r.at(now.Add(pollInterval), r.poll)
	}
}

func (r *siteReplay) run(c *qt.C) {
	r.arrive(start, true)
	r.arrive(start, false)
	r.at(start, r.poll)
	for _, loss := range []time.Duration{4 * time.Second, 7 * time.Second, 10 * time.Second} {
		r.at(start.Add(loss), func(now time.Time) { r.lose(c, now) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(siteEvent)
		e.run(e.at)
	}
}

// inTarget returns the share of the calls that arrived in a span, and got their first token by their target.
func (r *siteReplay) inTarget(from, until time.Duration, counted func(*siteCall) bool) float64 {
	good, all := 0, 0
	for _, x := range r.calls {
		if since := x.at.Sub(start); since < from || since >= until || !counted(x) {
			continue
		}
		all++
		if !x.firstAt.IsZero() && !x.firstAt.After(x.target) {
			good++
		}
	}
	return float64(good) / float64(max(1, all))
}

func isShort(x *siteCall) bool { return x.short }
func isLong(x *siteCall) bool  { return !x.short }

// TestLoadIsNormalSoonAfterOverload replays the worst seconds of site H without its coordinators: hosts sent requests to full engines
// again and again. What processor time and coordinators add to the overload is not part of it.
func TestLoadIsNormalSoonAfterOverload(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			r := newSiteReplay(c, seed+1)
			r.run(c)
			for second := range int(replayFor / time.Second) {
				from := time.Duration(second) * time.Second
				t.Logf("second %d: in target %.2f of short and %.2f of long prompts", second, r.inTarget(from, from+time.Second, isShort), r.inTarget(from, from+time.Second, isLong))
			}
			t.Logf("in the overload %.3f of short and %.3f of long prompts in target", r.inTarget(overloadFrom, replayOverloadEnd, isShort), r.inTarget(overloadFrom, replayOverloadEnd, isLong))
			t.Logf("%d calls, %d rejections by engines, refusals %v", len(r.calls), r.rejected, r.errors)
			// Hosts that learn nothing from rejections caused 2,520 to 3,145.
			c.Check(r.rejected < 2000, qt.IsTrue, qt.Commentf("%d rejections", r.rejected))
			for from := replayOverloadEnd + 2*time.Second; from+time.Second <= replayFor; from += 500 * time.Millisecond {
				c.Check(r.inTarget(from, from+time.Second, isShort) >= 0.9, qt.IsTrue, qt.Commentf("short prompts at %v", from))
				c.Check(r.inTarget(from, from+time.Second, isLong) >= 0.9, qt.IsTrue, qt.Commentf("long prompts at %v", from))
			}
		})
	}
}
