package masticlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	simStep      = 5 * time.Millisecond
	messageDelay = 5 * time.Millisecond
	runTime      = 20 * time.Millisecond
	testServer   = "w1"
	// window is the time over which the users' pages count requests.
	window = 4 * time.Second
)

var simStart = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// simHost is one entry host of a simFleet. It sends its requests to the limited server while it may.
type simHost struct {
	name    string
	sharer  *Sharer
	rate    float64
	pending float64
	down    bool
}

// simFleet is a fleet of hosts before one server, in injected time.
type simFleet struct {
	now    time.Time
	random *rand.Rand
	hosts  []*simHost
	// limit is what the server states, negative for none.
	limit float64
	// declines reports that hosts consider the server and send their requests elsewhere.
	declines bool
	arrivals []time.Time
	byHost   map[string]int
	events   []simEvent
	// cut reports whether messages between two hosts are lost.
	cut        func(from, to string) bool
	nextReport time.Time
}

// simEvent is the arrival of a message or an answer.
type simEvent struct {
	at  time.Time
	run func()
}

func newSimFleet(seed uint64, rates ...float64) *simFleet {
	f := &simFleet{now: simStart, random: rand.New(rand.NewPCG(seed, 0)), limit: -1, byHost: map[string]int{}, cut: func(string, string) bool { return false }}
	for i, rate := range rates {
		f.hosts = append(f.hosts, &simHost{name: fmt.Sprintf("h%02d", i), rate: rate})
	}
	for _, h := range f.hosts {
		f.restart(h)
	}
	return f
}

// listedAs lists all servers with an incarnation.
func listedAs(incarnation string) Listed {
	return func(string) (string, bool) { return incarnation, true }
}

// restart replaces the host's state by that of a new process.
func (f *simFleet) restart(h *simHost) {
	h.sharer, h.down = New(h.name, listedAs("born")), false
	h.sharer.SetHosts(f.live())
}

func (f *simFleet) live() []Host {
	var out []Host
	for _, h := range f.hosts {
		if !h.down {
			out = append(out, Host{Name: h.name, Weight: 1})
		}
	}
	return out
}

// setView tells all hosts which hosts are live.
func (f *simFleet) setView() {
	for _, h := range f.hosts {
		h.sharer.SetHosts(f.live())
	}
}

func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simStep) {
		f.deliver()
		if !f.now.Before(f.nextReport) {
			f.nextReport = f.now.Add(40 * time.Millisecond * time.Duration(1+len(f.hosts)/16))
			f.sendReports()
		}
		for _, h := range f.hosts {
			f.sendRequests(h)
		}
	}
}

func (f *simFleet) deliver() {
	due := f.events
	f.events = nil
	for _, e := range due {
		if e.at.After(f.now) {
			f.events = append(f.events, e)
			continue
		}
		e.run()
	}
}

func (f *simFleet) sendReports() {
	for _, h := range f.hosts {
		if h.down {
			continue
		}
		for to, r := range h.sharer.Reports(f.now) {
			i := slices.IndexFunc(f.hosts, func(o *simHost) bool { return o.name == to })
			target, sharer := f.hosts[i], f.hosts[i].sharer
			if f.cut(h.name, to) {
				continue
			}
			f.events = append(f.events, simEvent{f.now.Add(messageDelay), func() {
				if target.sharer == sharer && !target.down {
					sharer.Receive(f.now, r)
				}
			}})
		}
	}
}

func (f *simFleet) sendRequests(h *simHost) {
	if h.down {
		return
	}
	h.pending += h.rate * simStep.Seconds() * 2 * f.random.Float64()
	for ; h.pending >= 1; h.pending-- {
		if !h.sharer.Available(f.now, testServer) || f.declines {
			continue
		}
		h.sharer.Spend(testServer)
		f.arrivals = append(f.arrivals, f.now)
		f.byHost[h.name]++
		sentAt, sharer, stated := f.now, h.sharer, f.limit
		f.events = append(f.events, simEvent{f.now.Add(runTime), func() {
			sharer.Observe(f.now, testServer, "born", Observation{Limited: stated >= 0, RequestsPerSecond: max(0, stated), SentAt: sentAt})
		}})
	}
}

// most returns the largest number of arrivals in one window from the given time on.
func (f *simFleet) most(from time.Time) int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(f.arrivals[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed is the stated bound for one window.
func allowed(limit float64) int { return int(1.5*limit*window.Seconds()) + 5 }

// perSecond returns the rate of arrivals between two times.
func (f *simFleet) perSecond(from, to time.Time) float64 {
	n := 0
	for _, at := range f.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}

// known returns the number of hosts that know a limit.
func (f *simFleet) known() int {
	n := 0
	for _, h := range f.hosts {
		if h.sharer.Statement(testServer).Limited {
			n++
		}
	}
	return n
}

func even(hosts int, total float64) []float64 {
	return slices.Repeat([]float64{total / float64(hosts)}, hosts)
}

// TestLimitIsSharedAndUsed checks that a server gets no more than its limit allows over all hosts, and
// at least 0.7 of it, whatever the limit and however unevenly the requests come.
func TestLimitIsSharedAndUsed(t *testing.T) {
	for _, x := range []struct {
		name  string
		limit float64
		rates []float64
	}{
		{"seven hosts", 2, even(7, 20)},
		{"one host", 2, even(1, 20)},
		{"one busy host of seven", 2, []float64{20, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}},
		{"all requests at one host", 4, []float64{0, 0, 0, 30, 0, 0, 0}},
		{"half a request a second", 0.5, even(7, 20)},
		{"85 hosts, half a request a second", 0.5, even(85, 60)},
		{"85 hosts", 8, even(85, 60)},
		{"high limit", 50, even(8, 200)},
		{"rare requests", 1, even(7, 3)},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			f := newSimFleet(1, x.rates...)
			f.run(time.Second)
			f.limit = x.limit
			from := f.now.Add(time.Second)
			f.run(21 * time.Second)
			c.Check(f.most(from) <= allowed(x.limit), qt.IsTrue, qt.Commentf("%d in %v", f.most(from), window))
			got := f.perSecond(from, f.now)
			t.Logf("limit %v: %.2f a second, at most %d in %v of %d", x.limit, got, f.most(from), window, allowed(x.limit))
			c.Check(got >= 0.7*x.limit, qt.IsTrue, qt.Commentf("%.2f a second of %v", got, x.limit))
			c.Check(got <= 1.05*x.limit, qt.IsTrue, qt.Commentf("%.2f a second of %v", got, x.limit))
		})
	}
}

// TestRestartedHostLearnsLimits checks that a host which starts later learns of all limits.
func TestRestartedHostLearnsLimits(t *testing.T) {
	c := qt.New(t)
	const servers = 40
	f := newSimFleet(7, even(7, 7)...)
	for i := range servers {
		f.hosts[1].sharer.Observe(f.now, fmt.Sprint("server ", i), "born", Observation{Limited: true, RequestsPerSecond: 2, SentAt: f.now})
	}
	f.run(2 * time.Second)
	f.restart(f.hosts[3])
	f.run(time.Second)
	for _, h := range f.hosts {
		c.Assert(h.sharer.Limited(), qt.HasLen, servers)
	}
}

// TestTokensOfIdleHostsAreLost checks that all of a rate is used by one host once the others have no
// requests any more.
func TestTokensOfIdleHostsAreLost(t *testing.T) {
	c := qt.New(t)
	f := newSimFleet(5, even(7, 4)...)
	f.limit = 0.5
	f.run(10 * time.Second)
	for i, h := range f.hosts {
		h.rate = 0
		if i == 3 {
			h.rate = 20
		}
	}
	f.run(4 * time.Second)
	from := f.now
	f.run(20 * time.Second)
	got := f.perSecond(from, f.now)
	c.Assert(got >= 0.9*f.limit, qt.IsTrue, qt.Commentf("%.2f a second", got))
}

// TestTokensPileUpAtHosts checks the bound when hosts that preferred other servers for a while all turn to
// the limited one at once.
func TestTokensPileUpAtHosts(t *testing.T) {
	c := qt.New(t)
	f := newSimFleet(6, even(30, 60)...)
	f.limit = 1
	f.run(time.Second)
	f.declines = true
	f.run(15 * time.Second)
	from := f.now
	f.declines = false
	f.run(5 * time.Second)
	c.Assert(f.most(from) <= allowed(f.limit), qt.IsTrue, qt.Commentf("%d in %v", f.most(from), window))
}

// TestTokensOutliveTheirAllocator checks that a host drops the tokens of an allocator that it does not
// hear any more: the next one does not know of them.
func TestTokensOutliveTheirAllocator(t *testing.T) {
	c := qt.New(t)
	s := New("a", listedAs(""))
	s.SetHosts([]Host{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}, {Name: "c", Weight: 1}})
	s.Observe(simStart, testServer, "", Observation{Limited: true, RequestsPerSecond: 1, SentAt: simStart})
	x := s.servers[testServer]
	now := simStart
	hear := func(hosts ...string) {
		for _, host := range hosts {
			s.Receive(now, Report{Host: host, Grants: []Grant{{Server: testServer, Tokens: 1}}})
		}
	}
	hear("b", "c")
	s.Reports(now)
	hear("b", "c")
	first := x.ranking[0]
	c.Assert(first, qt.Not(qt.Equals), "a")
	c.Assert(s.Available(now, testServer), qt.IsTrue)
	second := x.ranking[1]
	for range 12 {
		now = now.Add(hostTimeout / 10)
		if second != "a" {
			s.heardAt[second] = now
		}
	}
	s.Reports(now)
	c.Assert(x.allocator, qt.Equals, second)
	c.Assert(s.Available(now, testServer), qt.IsFalse)
}

// TestLeavingHostAllocatesBesideTheOthers checks that a host which is being stopped uses tokens of the
// others, and that the rate holds over all of them.
func TestLeavingHostAllocatesBesideTheOthers(t *testing.T) {
	c := qt.New(t)
	f := newSimFleet(4, even(4, 40)...)
	f.limit = 8
	f.run(2 * time.Second)
	hosts := f.live()
	hosts[0].Leaving = true
	for _, h := range f.hosts {
		h.sharer.SetHosts(hosts)
	}
	f.run(2 * time.Second)
	from, before := f.now, f.byHost["h00"]
	f.run(10 * time.Second)
	got := f.perSecond(from, f.now)
	c.Assert(got >= 7.5 && got <= 8.2, qt.IsTrue, qt.Commentf("%.2f a second", got))
	c.Assert(f.byHost["h00"] > before+10, qt.IsTrue)
}

// TestEndOfLimitIsNoticed checks that all hosts use a server again within a second after its limit ends.
func TestEndOfLimitIsNoticed(t *testing.T) {
	for _, limit := range []float64{2, 8} {
		c := qt.New(t)
		f := newSimFleet(2, even(7, 20)...)
		f.run(time.Second)
		f.limit = limit
		f.run(8 * time.Second)
		c.Assert(f.known(), qt.Equals, 7)
		f.limit = -1
		f.run(time.Second)
		c.Assert(f.known(), qt.Equals, 0)
	}
}

// TestServerThatTakesNothingIsAskedAgain checks that the end of a limit of zero is noticed.
func TestServerThatTakesNothingIsAskedAgain(t *testing.T) {
	c := qt.New(t)
	f := newSimFleet(3, even(7, 20)...)
	f.limit = 0
	f.run(2 * time.Second)
	from := f.now
	f.run(12 * time.Second)
	c.Assert(f.most(from) <= allowed(0), qt.IsTrue)
	f.limit = -1
	f.run(6 * time.Second)
	c.Assert(f.known(), qt.Equals, 0)
}

// TestLimitHoldsWhileHostsFail checks the bound over hosts that are killed and restarted in turn, leave
// and join, are partitioned, and are cut off from one other host each.
func TestLimitHoldsWhileHostsFail(t *testing.T) {
	for seed := range uint64(40) {
		f := newSimFleet(seed, even(2+int(seed%7), 30)...)
		f.limit = []float64{0.5, 1, 2, 5, 20}[seed%5]
		f.run(time.Second)
		from := f.now
		for range 20 {
			f.disturb()
			f.run(time.Duration(100+f.random.IntN(900)) * time.Millisecond)
		}
		qt.Check(t, f.most(from) <= allowed(f.limit), qt.IsTrue, qt.Commentf("seed %d: %d in %v, limit %v", seed, f.most(from), window, f.limit))
	}
}

// disturb lets one disturbance begin or end.
func (f *simFleet) disturb() {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	switch f.random.IntN(6) {
	case 0:
		f.restart(h)
	case 1:
		h.down = true
	case 2:
		if h.down {
			f.restart(h)
		}
	case 3:
		f.setView()
	case 4:
		half := f.random.IntN(len(f.hosts))
		f.cut = func(from, to string) bool { return (from < f.hosts[half].name) != (to < f.hosts[half].name) }
	case 5:
		f.cut = func(string, string) bool { return false }
	}
}

// TestReportsOfUnknownHostsFillMemory: the state of hosts was kept under any name that a report had.
func TestReportsOfUnknownHostsFillMemory(t *testing.T) {
	c := qt.New(t)
	s := New("h", listedAs(""))
	s.SetHosts([]Host{{Name: "h", Weight: 1}})
	s.Observe(simStart, testServer, "", Observation{Limited: true, RequestsPerSecond: 5, SentAt: simStart})
	for i := range 100 {
		now := simStart.Add(time.Duration(i) * 20 * time.Millisecond)
		s.Receive(now, Report{Host: fmt.Sprint("unknown ", i), Demands: []Demand{{Server: testServer, PerSecond: 1}}})
		s.Reports(now)
	}
	c.Assert(s.heardAt, qt.HasLen, 0)
	c.Assert(s.servers[testServer].allocation.followers, qt.HasLen, 1)
}

// TestAbsurdRatesStopTheHost: a rate or a report of tokens beyond all bounds made the loop that shares
// them run without end.
func TestAbsurdRatesStopTheHost(t *testing.T) {
	c := qt.New(t)
	s := New("h", listedAs(""))
	s.SetHosts([]Host{{Name: "h", Weight: 1}, {Name: "other", Weight: 1}})
	c.Assert(s.Observe(simStart, "a", "", Observation{Limited: true, RequestsPerSecond: math.MaxFloat64, SentAt: simStart}), qt.IsFalse)
	c.Assert(s.Available(simStart, "a"), qt.IsTrue)
	s.Observe(simStart, "b", "", Observation{Limited: true, RequestsPerSecond: 5, SentAt: simStart})
	now := simStart
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		s.Receive(now, Report{
			Host:       "other",
			Statements: []Statement{{Server: "c", Limited: true, RequestsPerSecond: math.MaxFloat64, Version: math.MaxUint64}},
			Demands:    []Demand{{Server: "b", PerSecond: math.MaxFloat64, Held: math.MaxInt64, Returned: math.MaxInt64}},
			Grants:     []Grant{{Server: "b", Tokens: math.MaxInt64}},
		})
		s.Available(now, "b")
		s.Reports(now)
	}
	c.Assert(s.Available(now, "c"), qt.IsTrue)
}

// TestRestartEndsLimit: a limit that a server had stated after its restart, and before that was listed, ended with the listing. The limit of
// a former process ends with the first answer without one, and reports on a former incarnation count for nothing.
func TestRestartEndsLimit(t *testing.T) {
	c := qt.New(t)
	incarnation := "a"
	at := func(ms int) time.Time { return simStart.Add(time.Duration(ms) * time.Millisecond) }
	s := New("h", func(string) (string, bool) { return incarnation, true })
	limit := Observation{Limited: true, RequestsPerSecond: 2, SentAt: simStart}
	c.Assert(s.Observe(simStart, testServer, "a", limit), qt.IsTrue)
	c.Assert(s.Available(simStart, testServer), qt.IsFalse)
	s.SetHosts([]Host{{Name: "h", Weight: 1}, {Name: "other", Weight: 1}})
	incarnation = "b"
	s.UpdateListed()
	c.Assert(s.Available(at(1), testServer), qt.IsFalse)
	c.Assert(s.Statement(testServer).Incarnation, qt.Equals, "b")
	s.Receive(at(1), Report{Host: "other", Statements: []Statement{{Server: testServer, Incarnation: "a", Version: 9}}})
	c.Assert(s.Available(at(1), testServer), qt.IsFalse)
	c.Assert(s.Observe(at(2), testServer, "a", Observation{SentAt: at(1)}), qt.IsFalse, qt.Commentf("the answer to a former assignment"))
	c.Assert(s.Available(at(2), testServer), qt.IsFalse)
	c.Assert(s.Observe(at(3), testServer, "b", Observation{SentAt: at(2)}), qt.IsTrue)
	c.Assert(s.Available(at(3), testServer), qt.IsTrue)
	incarnation = "c"
	s.UpdateListed()
	c.Assert(s.Limited(), qt.HasLen, 0)
	c.Assert(s.Available(at(3), testServer), qt.IsTrue)
	c.Assert(s.Observe(at(4), testServer, "b", limit), qt.IsTrue, qt.Commentf("the answer to a former assignment"))
	c.Assert(s.Available(at(4), testServer), qt.IsFalse)
	s.Receive(at(4), Report{Host: "other", Statements: []Statement{{Server: testServer, Incarnation: "b", Version: 9, Limited: true}}})
	c.Assert(s.Statement(testServer).RequestsPerSecond, qt.Equals, limit.RequestsPerSecond)
}

// TestAnswerThatOvertakesAnother checks which of two statements holds if their answers may have
// overtaken each other.
func TestAnswerThatOvertakesAnother(t *testing.T) {
	at := func(ms int) time.Time { return simStart.Add(time.Duration(ms) * time.Millisecond) }
	limit := func(rate float64, sentAt int) Observation {
		return Observation{Limited: true, RequestsPerSecond: rate, SentAt: at(sentAt)}
	}
	for _, x := range []struct {
		name  string
		first Observation
		then  Observation
		want  Observation
	}{
		{"end sent later", limit(2, 0), Observation{SentAt: at(110)}, Observation{}},
		{"end that was under way", limit(2, 0), Observation{SentAt: at(90)}, limit(2, 0)},
		{"higher limit sent later", limit(2, 0), limit(8, 110), limit(8, 0)},
		{"higher limit that was under way", limit(2, 0), limit(8, 90), limit(2, 0)},
		{"lower limit that was under way", limit(8, 0), limit(2, 90), limit(2, 0)},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := New("h", listedAs(""))
			s.Observe(at(100), testServer, "", x.first)
			s.Observe(at(200), testServer, "", x.then)
			got := s.Statement(testServer)
			c.Assert(got.Limited, qt.Equals, x.want.Limited)
			c.Assert(got.RequestsPerSecond, qt.Equals, x.want.RequestsPerSecond)
		})
	}
}
