package masticplace

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var begin = time.Unix(1_800_000_000, 0)

// pick draws one of from, each as likely as the others; rapid favours the first ones.
func pick[T any](t *rapid.T, label string, from ...T) T {
	n := 0
	for range 5 {
		n *= 2
		if rapid.Bool().Draw(t, label) {
			n++
		}
	}
	return from[n%len(from)]
}

// engine is a backend server that loads until a time, under an order.
type engine struct {
	checks bool
	seen   Fence
	order  Fence
	until  time.Time
}

// sent is an order on its way to its backend server.
type sent struct {
	order Order
	at    time.Time
}

// fleet is engines of one owner, a leader after the other, and orders that arrive late or never.
// A former leader decides until its quorum lease ends.
type fleet struct {
	t       *rapid.T
	now     time.Time
	term    uint64
	planner *Planner
	orders  *Orders
	engines map[string]*engine
	network []sent
	limit   int
}

const orderSpan = 10 * time.Second

func (f *fleet) elect(quorumEnd time.Time) {
	f.term++
	f.planner = NewPlanner(f.term, quorumEnd, WithLoadsAtOnce("association", f.limit), WithOrderSpan(orderSpan), WithFormer(f.orders.Open(f.now)))
}

func (f *fleet) load() Load {
	n := pick(f.t, "server", 0, 1, 2, 3, 4, 5)
	return Load{Server: fmt.Sprint("s", n), Owner: "association", Model: "m", ChecksFencing: n%2 == 0}
}

// decide commits the orders and sends them; each may be lost, or arrive until its deadline.
func (f *fleet) decide() {
	for _, d := range f.planner.Decide(f.now) {
		if d.Order == nil {
			continue
		}
		if !f.orders.Apply(d.Order.ToProto(false)) {
			f.t.Fatalf("the order %+v is older than a committed one", d.Order)
		}
		if pick(f.t, "arrives", true, true, true, false) {
			delay := pick(f.t, "delay", 0, time.Second, orderSpan-1)
			f.network = append(f.network, sent{*d.Order, f.now.Add(delay)})
		}
	}
}

// receive starts a load. An engine that checks refuses a lower fencing number; one that
// does not must never be told to load while it loads. An order past its deadline is ignored.
func (f *fleet) receive(s sent) {
	e := f.engines[s.order.Server]
	if !s.at.Before(s.order.Deadline) || (e.checks && s.order.Fence.Less(e.seen)) {
		return
	}
	if s.at.Before(e.until) {
		f.t.Fatalf("%s is loading under %v and was ordered %v", s.order.Server, e.order, s.order.Fence)
	}
	if s.order.Fence.Less(e.seen) {
		f.t.Fatalf("%s took %v after %v", s.order.Server, s.order.Fence, e.seen)
	}
	e.seen, e.order = s.order.Fence, s.order.Fence
	e.until = s.order.Deadline
	if fast := s.at.Add(300 * time.Millisecond); fast.Before(e.until) && pick(f.t, "fast", true, false) {
		e.until = fast
	}
}

func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	due := f.network
	f.network = nil
	for _, s := range due {
		if s.at.After(f.now) {
			f.network = append(f.network, s)
			continue
		}
		f.receive(s)
	}
	for n, e := range f.engines {
		if !e.until.IsZero() && !f.now.Before(e.until) && pick(f.t, "done known", true, false) {
			f.planner.Done(n, e.order)
		}
	}
}

func (f *fleet) check() {
	loading := 0
	for _, e := range f.engines {
		if f.now.Before(e.until) {
			loading++
		}
	}
	if loading > f.limit {
		f.t.Fatalf("%d load at once, the bound is %d", loading, f.limit)
	}
}

func TestLoadsAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: begin, orders: NewOrders(nil), engines: make(map[string]*engine), limit: pick(t, "limit", 2, 3)}
		for n := range 6 {
			f.engines[fmt.Sprint("s", n)] = &engine{checks: n%2 == 0}
		}
		f.elect(begin)
		for range 100 {
			f.advance(pick(t, "pass", 0, 10*time.Millisecond, 500*time.Millisecond, 3*time.Second))
			switch pick(t, "action", "elect", "want", "want", "want") {
			case "elect":
				if pick(t, "fault", true, false, false) {
					f.elect(f.now.Add(pick(t, "former leader", 0, time.Second)))
				}
			default:
				f.planner.Want(f.load())
			}
			f.decide()
			f.check()
		}
	})
}

func TestDecisionsHaveReasons(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(7, begin.Add(time.Second), WithLoadsAtOnce("o", 1), WithStoreRate(1000))
	for _, s := range []string{"a", "b", "c"} {
		p.Want(Load{Server: s, Owner: "o", Bytes: 1000, ChecksFencing: s != "c"})
	}
	reasons := func(now time.Time) string {
		var out string
		for _, d := range p.Decide(now) {
			out += fmt.Sprintf("%s %s %d/%d ", d.Load.Server, d.Reason, d.Running, d.Limit)
		}
		return out
	}
	c.Assert(reasons(begin), qt.Equals, "a free 0/1 b ownerBusy 1/1 c formerOrderMayRun 1/1 ")
	c.Assert(reasons(begin), qt.Equals, "")
	p.Done("a", Fence{7, 9})
	c.Assert(reasons(begin.Add(time.Second)), qt.Equals, "c ownerBusy 1/1 ")
	p.Done("a", Fence{7, 1})
	c.Assert(reasons(begin.Add(999*time.Millisecond)), qt.Equals, "b storeBusy 0/1 c formerOrderMayRun 0/1 ")
	c.Assert(reasons(begin.Add(time.Second)), qt.Equals, "b free 0/1 c ownerBusy 1/1 ")
	c.Assert(p.Wishes(), qt.Equals, 1)
}

func TestOrdersNeverGoBack(t *testing.T) {
	c := qt.New(t)
	s := NewOrders(nil)
	order := func(term, sequence uint64, done bool) bool {
		o := Order{Load: Load{Server: "a"}, Fence: Fence{term, sequence}, Deadline: begin.Add(orderSpan)}
		return s.Apply(o.ToProto(done))
	}
	c.Assert(order(2, 1, false), qt.IsTrue)
	c.Assert(order(1, 9, false), qt.IsFalse)
	c.Assert(s.Open(begin), qt.HasLen, 1)
	c.Assert(s.Open(begin.Add(orderSpan)), qt.HasLen, 0)
	c.Assert(order(2, 1, true), qt.IsTrue)
	c.Assert(order(2, 1, false), qt.IsFalse)
	c.Assert(s.Open(begin), qt.HasLen, 0)
}
