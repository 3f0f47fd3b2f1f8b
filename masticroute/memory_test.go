package masticroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticprompt"
	"masticladder/masticview"
)

// heldQuery returns a query with a prompt of its own.
func heldQuery(n int, class masticview.Class, tokens, output int64) *Query {
	prompt := masticprompt.Cut([]masticcall.Level{{Role: "part", Text: fmt.Sprint(n), Tokens: tokens}})
	return &Query{Model: masticview.PoolModel("pool", "m"), Class: class, Prompt: prompt, PromptTokens: tokens, OutputTokens: output}
}

// TestRunningRequestsFitIntoMemory guards against requests that exceed an engine's memory: an engine that
// cannot grow its requests ends. Two hosts send prompts of all lengths and both classes, whose outputs grow.
func TestRunningRequestsFitIntoMemory(t *testing.T) {
	c := qt.New(t)
	const memory, engines = 160_000, 3
	random := rand.New(rand.NewPCG(1, 1))
	now := time.UnixMilli(1_000_000)
	hosts := []*Router{sharedRouter(c, engines), sharedRouter(c, engines)}
	running := [2][]Work{}
	refused := 0
	for i := range 3000 {
		now = now.Add(time.Duration(random.Int64N(int64(10 * time.Millisecond))))
		h := i % 2
		class := masticview.ClassLong
		if random.IntN(2) == 0 {
			class = masticview.ClassQuick
		}
		q := heldQuery(i, class, 1+random.Int64N(15_000), random.Int64N(2_000))
		if d := decide(c, hosts[h], now, q); d.Admit {
			w := hosts[h].Start(now, q, &d)
			c.Assert(w.Held >= float64(q.PromptTokens+q.OutputTokens), qt.IsTrue)
			running[h] = append(running[h], w)
		} else {
			refused++
		}
		for len(running[h]) > 40 || len(running[h]) > 0 && random.IntN(4) == 0 {
			hosts[h].Done(now, &running[h][0], End{})
			running[h] = running[h][1:]
		}
		hosts[1-h].ApplyPeerReport(now, hosts[h].TakeOwnReport(fmt.Sprint("host", h)))
		var held [engines]float64
		for _, all := range running {
			for _, w := range all {
				held[w.Slot-hosts[0].slots["e0"]] += w.Held
			}
		}
		for _, n := range held {
			c.Assert(n <= memory, qt.IsTrue)
		}
	}
	c.Assert(refused > 100, qt.IsTrue)
}

// TestLargePromptGoesWhereItFitsSoonest guards against a large prompt that waits for an engine with less work
// but more memory in use than another.
func TestLargePromptGoesWhereItFitsSoonest(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := sharedRouter(c, 2)
	r.ApplyPeerReport(now, PeerReport{Host: "h", Servers: []ServerLoad{
		{Server: "e0", Running: 8, Speed: 40_000, HeldTokens: 135_000, Tokens: 1_000},
		{Server: "e1", Running: 8, Speed: 40_000, HeldTokens: 60_000, Tokens: 2_000},
	}})
	d := decide(c, r, now, heldQuery(1, masticview.ClassLong, 90_000, 20))
	c.Assert(d.Admit, qt.IsFalse)
	c.Assert(r.Server(d.Slot).Name, qt.Equals, "e1")
}
