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
	"masticladder/masticprompt"
	"masticladder/masticroute"
	"masticladder/masticshard"
	"masticladder/masticview"
)

// replay is a large site under one load, in injected time: hosts that assign prompts to engines, which
// compute one prompt after the other. New weights have just been loaded, so nothing is cached yet.
type replay struct {
	now    time.Time
	random *rand.Rand
	hosts  map[string]*Scheduler
	names  []string
	shards *masticshard.Map
	events replayEvents
	busy   map[string]time.Time
	speed  map[string]float64
	ticket Ticket
	// received is when each request arrived at its host, delays are the times to the first token.
	received map[Ticket]time.Time
	delays   []time.Duration
	refused  int
	// alone makes hosts assign engines by what they know themselves.
	alone bool
}

// replayEvent is something that happens at a time.
type replayEvent struct {
	at  time.Time
	run func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

const (
	replayPool  = "advisor/saw"
	replayDelay = 2 * time.Millisecond
)

func newReplay(seed uint64, hosts, engines int, alone bool) *replay {
	p := &replay{
		now: start, random: rand.New(rand.NewPCG(seed, 32)), hosts: map[string]*Scheduler{}, alone: alone,
		busy: map[string]time.Time{}, speed: map[string]float64{}, received: map[Ticket]time.Time{},
	}
	var v masticview.View
	for i := range hosts {
		name := fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250)
		v = v.WithHost(masticview.Host{Name: name, Address: name, Peer: name, Weight: 1, State: masticview.HostLive})
		p.names = append(p.names, name)
	}
	for i := range engines {
		name := fmt.Sprintf("i-%08d", i)
		v = v.WithServer(masticview.Server{
			Name: name, Kind: masticview.ServerEngine, Service: "advisor", Models: []string{"saw"}, State: masticview.ServerActive,
			WeightsVersion: "2", Slots: 12, URL: "http://" + name,
		})
		p.speed[name] = 63_900 * []float64{0.6, 1, 1.6}[i%3]
	}
	for i, name := range p.names {
		s := New(masticroute.New(masticroute.WithSeed(uint64(i)), masticroute.WithSharedLoad(), masticroute.WithHost(name)))
		s.SetView(start, v)
		p.hosts[name] = s
	}
	p.shards = p.hosts[p.names[0]].Shards()
	return p
}

func (p *replay) after(d time.Duration, run func()) {
	heap.Push(&p.events, replayEvent{p.now.Add(d), run})
}

// run plays requests at a rate for a time.
func (p *replay) run(perSecond float64, d time.Duration) {
	count := int(perSecond * d.Seconds())
	for range count {
		p.after(time.Duration(p.random.Float64()*float64(d)), p.arrive)
	}
	for p.events.Len() > 0 {
		e := heap.Pop(&p.events).(replayEvent)
		p.now = e.at
		e.run()
	}
}

// arrive lets a random host get a request with one of 1,970 prefixes.
func (p *replay) arrive() {
	host := p.names[p.random.IntN(len(p.names))]
	prompt := masticprompt.Cut([]masticcall.Level{
		{Text: fmt.Sprint("dossier ", p.random.IntN(1970)), Tokens: 13_300}, {Text: fmt.Sprint("question ", p.random.Uint64()), Tokens: 3720},
	})
	r := masticcall.Request{
		Weight: 1, Model: replayPool, Class: masticview.ClassLong, PromptTokens: 17_020,
		FirstTokenDeadline: p.now.Add(800 * time.Millisecond), Deadline: p.now.Add(8 * time.Second), ServerWaitDeadline: p.now.Add(150 * time.Millisecond),
	}
	received := p.now
	if p.alone {
		p.submit(p.hosts[host], r, prompt, received)
		return
	}
	p.after(replayDelay, func() {
		shard := p.shards.Rank(replayPool, masticroute.PrefixHash("", replayPool, prompt))[0]
		r.Shard = shard.Number
		p.submit(p.hosts[shard.Coordinators[0].Name], r, prompt, received)
	})
}

// submit has a host assign an engine. What waits in its queue is looked at again each pollInterval.
func (p *replay) submit(s *Scheduler, r masticcall.Request, prompt masticprompt.Prompt, received time.Time) {
	p.ticket++
	s.Submit(p.now, p.ticket, r, prompt)
	p.received[p.ticket] = received
	p.settle(s)
}

// settle sends the assigned requests of a host to their engines.
func (p *replay) settle(s *Scheduler) {
	for _, o := range s.Outcomes() {
		received := p.received[o.Ticket]
		if o.Err != nil {
			p.refused++
			continue
		}
		name, tokens := o.Server.Name, float64(o.Decision.Uncached())
		begin := p.now.Add(replayDelay)
		if p.busy[name].After(begin) {
			begin = p.busy[name]
		}
		end := begin.Add(time.Duration(tokens / p.speed[name] * float64(time.Second)))
		p.busy[name] = end
		p.after(end.Sub(p.now), func() {
			p.delays = append(p.delays, p.now.Sub(received))
			s.FirstToken(p.now, o.Ticket)
			p.after(60*time.Millisecond, func() {
				s.Done(p.now, o.Ticket, masticcall.Result{CachedUnknown: true})
				p.settle(s)
			})
			p.settle(s)
		})
	}
	if s.Queued() > 0 {
		p.after(pollInterval, func() {
			s.Poll(p.now)
			p.settle(s)
		})
	}
}

// inTime returns the share of the requests with a first token within d.
func (p *replay) inTime(d time.Duration) float64 {
	n := 0
	for _, x := range p.delays {
		if x <= d {
			n++
		}
	}
	return float64(n) / float64(len(p.delays)+p.refused)
}

// percentile returns a percentile of the times to the first token.
func (p *replay) percentile(q float64) time.Duration {
	sorted := slices.Clone(p.delays)
	slices.SortFunc(sorted, cmp.Compare[time.Duration])
	return sorted[int(q*float64(len(sorted)-1))]
}

// TestHostsOfLargeSitePileUpPrompts replays long prompts that no engine has cached, as after a change of
// weights, at 209 a second over 291 hosts and 153 engines: hosts that did not know of each other's prompts
// sent many to the same engines while others were idle.
func TestHostsOfLargeSitePileUpPrompts(t *testing.T) {
	const goal = 800 * time.Millisecond
	for seed := range uint64(3) {
		c := qt.New(t)
		alone := newReplay(seed, 291, 153, true)
		alone.run(209, 8*time.Second)
		sharded := newReplay(seed, 291, 153, false)
		sharded.run(209, 8*time.Second)
		t.Logf("alone: %.3f in time, p99 %v, %d refused; sharded: %.3f, %v, %d", alone.inTime(goal), alone.percentile(0.99), alone.refused, sharded.inTime(goal), sharded.percentile(0.99), sharded.refused)
		c.Check(sharded.inTime(goal) >= 0.95, qt.IsTrue, qt.Commentf("%.3f", sharded.inTime(goal)))
		c.Check(sharded.refused, qt.Equals, 0)
		c.Check(sharded.inTime(goal) > alone.inTime(goal), qt.IsTrue)
	}
}
