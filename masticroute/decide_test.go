package masticroute

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticladder/masticcache"
	"masticladder/masticcall"
	"masticladder/masticprompt"
	"masticladder/masticview"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func engineOf(i int) masticview.Server {
	return masticview.Server{
		Name: fmt.Sprintf("engine%04d", i), Kind: masticview.ServerEngine,
		Models: []string{"saw"}, State: masticview.ServerActive,
	}
}

func viewOf(engines int) masticview.View {
	var v masticview.View
	for i := range engines {
		v = v.WithServer(engineOf(i))
	}
	return v
}

func levelOf(name string, tokens int) masticcall.Level {
	return masticcall.Level{Role: "user", Text: strings.Repeat(fmt.Sprintf("%-8s", name), tokens/2)}
}

// promptOf returns a prompt of 44,000 tokens in three levels.
func promptOf(member, question string) masticprompt.Prompt {
	return masticprompt.Cut([]masticcall.Level{levelOf("handbook", 24000), levelOf(member, 20000), levelOf(question, 300)})
}

func queryOf(member, question string) Query {
	return Query{Model: "saw", Workspace: "mill", Class: masticview.ClassLong, Prompt: promptOf(member, question)}
}

// randomRouter returns a Router that has run some random requests.
func randomRouter(t *rapid.T, engines int) *Router {
	r := New(WithSeed(rapid.Uint64().Draw(t, "seed")))
	r.SetView(viewOf(engines))
	now := start
	for range rapid.IntRange(0, 20).Draw(t, "requests") {
		now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "millis")) * time.Millisecond)
		q := queryOf(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "member"), "q")
		d, ok := r.Decide(now, &q)
		if !ok {
			continue
		}
		w := r.Start(now, &q, &d)
		if rapid.Bool().Draw(t, "ends") {
			r.FirstToken(now.Add(time.Second), &w)
			r.Done(now.Add(2*time.Second), &w, End{CachedTokens: rapid.Int64Range(0, 40000).Draw(t, "cached")})
		}
	}
	return r
}

func TestNoWorkIsSentToLeavingServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := randomRouter(t, 8)
		v := viewOf(8)
		left := map[string]bool{}
		for i := range 8 {
			if i > 0 && rapid.Bool().Draw(t, "leaves") {
				s := engineOf(i)
				s.State = rapid.SampledFrom([]masticview.ServerState{masticview.ServerLeaving, masticview.ServerRetired}).Draw(t, "state")
				left[s.Name] = true
				v = v.WithServer(s)
			}
		}
		r.SetView(v)
		q := queryOf(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "member"), "new")
		q.Class = rapid.SampledFrom([]masticview.Class{masticview.ClassQuick, masticview.ClassLong}).Draw(t, "class")
		d, ok := r.Decide(start.Add(time.Minute), &q)
		if !ok {
			t.Fatalf("engine0000 is active but nothing was chosen")
		}
		for _, c := range d.Evaluated() {
			if left[r.Server(c.Slot).Name] {
				t.Fatalf("%s has left and is a candidate (%s)", r.Server(c.Slot).Name, c.Reason)
			}
		}
	})
}

func TestSuspectRequestsNeverShareAServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(WithSeed(rapid.Uint64().Draw(t, "seed")))
		r.SetView(viewOf(rapid.IntRange(1, 5).Draw(t, "engines")))
		running := map[masticcache.Slot]*Work{}
		for n := range rapid.IntRange(1, 20).Draw(t, "steps") {
			now := start.Add(time.Duration(n) * time.Second)
			q := queryOf("a", "q")
			q.Suspect = true
			if d, ok := r.Decide(now, &q); ok {
				if running[d.Slot] != nil {
					t.Fatalf("two suspects on %s", r.Server(d.Slot).Name)
				}
				w := r.Start(now, &q, &d)
				running[d.Slot] = &w
			}
			for slot := range masticcache.Slot(5) {
				if w := running[slot]; w != nil && rapid.Bool().Draw(t, "ends") {
					r.Done(now, w, End{})
					delete(running, slot)
				}
			}
		}
	})
}

func TestHomesStableWhenAnotherServerLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "engines")
		key := rapid.Uint64().Draw(t, "key")
		all := map[masticcache.Slot]string{}
		for i := range n {
			all[masticcache.Slot(i)] = engineOf(i).Name
		}
		before := newRing(all).first(key, homesPerLevel)
		gone := masticcache.Slot(rapid.IntRange(0, n-1).Draw(t, "gone"))
		if slices.Contains(before, gone) {
			return
		}
		delete(all, gone)
		if after := newRing(all).first(key, homesPerLevel); !slices.Equal(before, after) {
			t.Fatalf("%v became %v when %d left", before, after, gone)
		}
	})
}

func TestReportLagDoesNotDoubleCountOwnWork(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.SetView(viewOf(1))
	q := queryOf("a", "q")
	d, _ := r.Decide(start, &q)
	r.Start(start, &q, &d)
	own := r.servers[0].load.ownTokens
	r.ApplyLoadReport(start.Add(time.Second), LoadReport{Server: "engine0000", AsOf: start.Add(500 * time.Millisecond), QueuedTokens: int64(own) + 1000})
	c.Assert(r.servers[0].load.reportedOthersTokens(start.Add(time.Second)), qt.Equals, 1000.0)
	r.ApplyLoadReport(start.Add(time.Second), LoadReport{Server: "engine0000", AsOf: start.Add(600 * time.Millisecond), QueuedTokens: 500})
	c.Assert(r.servers[0].load.reportedOthersTokens(start.Add(time.Second)), qt.Equals, 0.0)
}

func TestRequestWaitsForPrefixBeingComputed(t *testing.T) {
	c := qt.New(t)
	r := New(WithSeed(1))
	r.SetView(viewOf(4))
	first := queryOf("a", "q1")
	d, _ := r.Decide(start, &first)
	r.Start(start, &first, &d)
	second := queryOf("a", "q2")
	e, _ := r.Decide(start.Add(time.Millisecond), &second)
	c.Assert(e.Slot, qt.Equals, d.Slot)
	c.Assert(e.Admit, qt.IsFalse)
}

func TestDiscountLowersTheCostsToOthers(t *testing.T) {
	c := qt.New(t)
	r := New(WithSeed(1))
	r.SetView(viewOf(8))
	q := queryOf("a", "q")
	full, _ := r.Decide(start, &q)
	c.Assert(full.Cost > 0, qt.IsTrue)
	q.Discount = 1
	none, _ := r.Decide(start, &q)
	c.Assert(none.Cost, qt.Equals, time.Duration(0))
}

// BenchmarkDecide measures one decision by the number of engines.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{20, 200, 1000, 5400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New(WithSeed(1))
			r.SetView(viewOf(n))
			warm := queryOf("a", "q")
			for range min(n, 100) {
				d, _ := r.Decide(start, &warm)
				r.Start(start, &warm, &d)
			}
			q := queryOf("a", "q2")
			b.ReportAllocs()
			for b.Loop() {
				r.Decide(start, &q)
			}
		})
	}
}

func TestServerMissingFromViewIsNotChosen(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.SetView(viewOf(2))
	r.SetView(viewOf(1))
	q := queryOf("a", "q")
	q.Avoid = []string{"engine0000"}
	_, ok := r.Decide(start, &q)
	c.Assert(ok, qt.IsFalse)
	r.SetView(viewOf(2))
	d, ok := r.Decide(start, &q)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Server(d.Slot).Name, qt.Equals, "engine0001")
}

func TestNewWeightsResetCacheIndex(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.SetView(viewOf(1))
	q := queryOf("a", "q")
	d, _ := r.Decide(start, &q)
	r.Start(start, &q, &d)
	s := engineOf(0)
	s.WeightsVersion = "v2"
	r.SetView(viewOf(1).WithServer(s))
	d, ok := r.Decide(start, &q)
	c.Assert(ok, qt.IsTrue)
	c.Assert(d.Cached, qt.Equals, 0.0)
	c.Assert(r.cacheIndex.Epoch(0), qt.Equals, masticcache.Epoch(1))
}

// BenchmarkSetView measures the update to a view with the same servers by the number of engines.
func BenchmarkSetView(b *testing.B) {
	for _, n := range []int{20, 5400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New()
			v := viewOf(n)
			r.SetView(v)
			for b.Loop() {
				r.SetView(v)
			}
		})
	}
}
