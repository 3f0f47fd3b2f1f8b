package masticroute

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticprompt"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// sharedRouter returns a router over n engines of one pool with a store.
func sharedRouter(c *qt.C, n int) *Router {
	change := &masticproto.ViewChange{Document: &masticproto.Document{Number: 1, Pools: []*masticproto.Pool{
		{Name: "pool", Engine: true, CacheTokens: 160_000, TransferTokensPerSecond: 200_000},
		{Name: "keep", Store: "10.0.9.9:80", Zone: "z", CacheTokens: 2_000_000, TransferTokensPerSecond: 200_000},
	}}}
	for i := range n {
		change.Servers = append(change.Servers, poolEngine(i, "1").ToProto())
	}
	v, err := masticview.View{}.Apply(change, time.UnixMilli(0))
	c.Assert(err, qt.IsNil)
	r := New(WithSharedLoad())
	r.SetView(v)
	return r
}

func poolEngine(i int, version string) masticview.Server {
	return masticview.Server{
		Name: fmt.Sprint("e", i), Kind: masticview.ServerEngine, URL: fmt.Sprintf("http://10.0.0.%d:80", i+1), Zone: "z", Slots: 32,
		Models: []string{"m"}, Service: "pool", WeightsVersion: version, State: masticview.ServerActive,
	}
}

func longQuery(prefix, own string) *Query {
	prompt := masticprompt.Cut([]masticcall.Level{{Role: "part", Text: prefix, Tokens: 13_300}, {Role: "part", Text: own, Tokens: 3_700}})
	return &Query{Model: masticview.PoolModel("pool", "m"), Class: masticview.ClassLong, Prompt: prompt, PromptTokens: 17_000}
}

func decide(c *qt.C, r *Router, now time.Time, q *Query) Decision {
	d, ok := r.Decide(now, q)
	c.Assert(ok, qt.IsTrue)
	return d
}

// TestSharedLoadSpreadsBurst guards against hosts that see only their own load: in a burst over
// several hosts each host saw idle engines, and one engine got 3 to 6 times the mean.
func TestSharedLoadSpreadsBurst(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	a, b := sharedRouter(c, 4), sharedRouter(c, 4)
	taken := map[string]int{}
	for i := range 8 {
		here, there := a, b
		if i%2 == 1 {
			here, there = b, a
		}
		q := longQuery(fmt.Sprint("prefix", i), "own")
		d := decide(c, here, now, q)
		here.Start(now, q, &d)
		taken[here.Server(d.Slot).Name]++
		there.ApplyPeerReport(now, here.TakeOwnReport(fmt.Sprint("host", i%2)))
	}
	for i := range 4 {
		c.Assert(taken[fmt.Sprint("e", i)], qt.Equals, 2)
	}
}

// TestPrefixOfOtherHostIsFetched checks that a prompt that another host has sent is not computed again: it is
// fetched from its engine, or from the store once it is saved there and the engine has ended.
func TestPrefixOfOtherHostIsFetched(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	a, b := sharedRouter(c, 2), sharedRouter(c, 2)
	q := longQuery("prefix", "own")
	d := decide(c, a, now, q)
	c.Assert(d.Cached, qt.Equals, 0.0)
	c.Assert(d.Save, qt.Equals, "10.0.9.9:80")
	w := a.Start(now, q, &d)
	a.FirstToken(now, &w)
	b.ApplyPeerReport(now, a.TakeOwnReport("a"))
	other := longQuery("prefix", "other")
	other.Avoid = []string{a.Server(d.Slot).Name}
	e := decide(c, b, now, other)
	c.Assert(e.Fetch, qt.Equals, b.Server(d.Slot).Address())
	c.Assert(e.Cached, qt.Equals, 13_300.0)
	c.Assert(e.Save, qt.Equals, "")
	b.cacheIndex.Reset(d.Slot)
	c.Assert(decide(c, b, now, other).Hold, qt.IsTrue)
	other.Waited = maxHold
	c.Assert(decide(c, b, now, other).Cached, qt.Equals, 0.0)
	e = decide(c, b, now.Add(100*time.Millisecond), other)
	c.Assert(e.Fetch, qt.Equals, "10.0.9.9:80")
	c.Assert(e.Cached, qt.Equals, 13_300.0)
	c.Assert(e.Save, qt.Equals, "")
}

// TestPeerReportsExpire checks that the load of a host that stopped reporting is no longer
// counted.
func TestPeerReportsExpire(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 1)
	r.ApplyPeerReport(now, PeerReport{Host: "gone", Servers: []ServerLoad{{Server: "e0", Tokens: 1e6, Running: 9}}})
	busy := decide(c, r, now, longQuery("p", "o"))
	idle := decide(c, r, now.Add(peerReportTTL+1), longQuery("p", "o"))
	c.Assert(idle.Wait < busy.Wait/10, qt.IsTrue)
}

// TestOutdatedWeightsAreAvoided checks that the newest weights are preferred, and that older
// ones are refused once no request may start on them.
func TestOutdatedWeightsAreAvoided(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 2)
	q := longQuery("p", "o")
	q.Versions = []AnnouncedVersion{{Version: 2, Deadline: now.Add(time.Second)}}
	c.Assert(decide(c, r, now, q).Fetch, qt.Equals, "10.0.9.9:80")
	_, ok := r.Decide(now.Add(time.Second), q)
	c.Assert(ok, qt.IsFalse)
	v, err := masticview.View{}.Apply(&masticproto.ViewChange{Servers: []*masticproto.Server{
		poolEngine(0, "1").ToProto(), poolEngine(1, "2").ToProto(),
	}}, now)
	c.Assert(err, qt.IsNil)
	r.SetView(v)
	c.Assert(r.Server(decide(c, r, now, q).Slot).Name, qt.Equals, "e1")
}

// TestLongPromptsWaitForMemory guards against more long prompts on an engine than its memory
// holds, as on a day with a quarter of the engines down. Requests on an engine leave part of its
// memory to quick requests, which are still admitted; an idle engine takes a prompt of any
// length.
func TestLongPromptsWaitForMemory(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 1)
	const memory, tokens = 160_000, 17_000
	open := 0
	for i := range 12 {
		q := longQuery(fmt.Sprint("prefix", i), "own")
		d := decide(c, r, now, q)
		if !d.Admit {
			break
		}
		open++
		r.Start(now, q, &d)
	}
	c.Assert(open, qt.Equals, int(maxMemoryShare*memory/heldFor(tokens, 0)))
	quick := longQuery("prefix", "own")
	quick.Class, quick.PromptTokens = masticview.ClassQuick, 400
	c.Assert(decide(c, r, now, quick).Admit, qt.IsTrue)
	huge := longQuery("huge", "own")
	huge.PromptTokens = memory
	c.Assert(decide(c, sharedRouter(c, 1), now, huge).Admit, qt.IsTrue)
}

// TestFirstSpeedsReplaceDefaultSpeed checks that a measurement reported by one host stands in
// for the speeds of engines that nobody has measured.
func TestFirstSpeedsReplaceDefaultSpeed(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 3)
	const speed = 64_000
	r.ApplyPeerReport(now, PeerReport{Host: "h", Servers: []ServerLoad{{Server: "e0", Speed: speed, Running: 1}}})
	c.Assert(r.meanSpeed, qt.Equals, float64(speed))
	r.ApplyPeerReport(now, PeerReport{Host: "h", Servers: []ServerLoad{{Server: "e0", Speed: 2 * speed, Running: 1}}})
	c.Assert(r.meanSpeed, qt.Equals, float64(speed))
	r.ApplyPeerReport(now, PeerReport{Host: "g", Servers: []ServerLoad{{Server: "e1", Speed: speed / 2, Running: 1}}})
	c.Assert(r.meanSpeed, qt.Equals, 0.75*speed)
}

// TestQuickRequestsAvoidTakenSlots guards against quick requests beyond an engine's slots. Just
// after new weights were announced, the few engines that had them got such requests, and each
// preempted a long one. Another engine with some more work and a free slot is better.
func TestQuickRequestsAvoidTakenSlots(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 2)
	const slots = 32
	r.ApplyPeerReport(now, PeerReport{Host: "h", Servers: []ServerLoad{
		{Server: "e0", Running: slots},
		{Server: "e1", Running: slots - 2, Tokens: 1500, QuickTokens: 1500},
	}})
	quick := longQuery("prefix", "own")
	quick.Class, quick.PromptTokens = masticview.ClassQuick, 400
	c.Assert(r.servers[decide(c, r, now, quick).Slot].info.Name, qt.Equals, "e1")
}
