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

// pick draws one of from with equal probability; rapid's own draws favour the first ones.
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

// engine simulates a backend server that carries out an order until loadingUntil.
type engine struct {
	checksFencing bool
	highestFence  Fence
	order         Fence
	loadingUntil  time.Time
}

// sentOrder is an order in transit to its backend server.
type sentOrder struct {
	order     Order
	arrivesAt time.Time
}

// fleet simulates engines of one owner, successive leaders, and orders that arrive late or
// never. A former leader issues orders until its leader lease ends.
type fleet struct {
	t       *rapid.T
	now     time.Time
	term    uint64
	planner *Planner
	orders  *Orders
	engines map[string]*engine
	network []sentOrder
	limit   int
}

const orderTimeout = 10 * time.Second

func (f *fleet) elect(previousLeaseEnd time.Time) {
	f.term++
	f.planner = NewPlanner(f.term, previousLeaseEnd, WithMaxConcurrentLoads("association", f.limit), WithOrderTimeout(orderTimeout), WithPreviousOrders(f.orders.Open(f.now)))
}

func (f *fleet) load() Load {
	n := pick(f.t, "server", 0, 1, 2, 3, 4, 5)
	return Load{Server: fmt.Sprint("s", n), Owner: "association", Model: "m", ChecksFencing: n%2 == 0}
}

// decide commits the planner's orders and sends them. Each is lost or arrives before its
// deadline.
func (f *fleet) decide() {
	for _, d := range f.planner.Decide(f.now) {
		if d.Order == nil {
			continue
		}
		if !f.orders.Apply(d.Order.ToProto(false)) {
			f.t.Fatalf("order %+v has a lower fencing token than a committed one", d.Order)
		}
		if pick(f.t, "arrives", true, true, true, false) {
			delay := pick(f.t, "delay", 0, time.Second, orderTimeout-1)
			f.network = append(f.network, sentOrder{*d.Order, f.now.Add(delay)})
		}
	}
}

// receive starts a load. An engine that checks fencing refuses a lower fencing token; one
// that does not must never get an order while it loads. An order past its deadline is ignored.
func (f *fleet) receive(s sentOrder) {
	e := f.engines[s.order.Server]
	if !s.arrivesAt.Before(s.order.Deadline) || (e.checksFencing && s.order.Fence.Less(e.highestFence)) {
		return
	}
	if s.arrivesAt.Before(e.loadingUntil) {
		f.t.Fatalf("%s is carrying out order %v and got order %v", s.order.Server, e.order, s.order.Fence)
	}
	if s.order.Fence.Less(e.highestFence) {
		f.t.Fatalf("%s accepted order %v after %v", s.order.Server, s.order.Fence, e.highestFence)
	}
	e.highestFence, e.order = s.order.Fence, s.order.Fence
	e.loadingUntil = s.order.Deadline
	if fast := s.arrivesAt.Add(300 * time.Millisecond); fast.Before(e.loadingUntil) && pick(f.t, "fast", true, false) {
		e.loadingUntil = fast
	}
}

func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	due := f.network
	f.network = nil
	for _, s := range due {
		if s.arrivesAt.After(f.now) {
			f.network = append(f.network, s)
			continue
		}
		f.receive(s)
	}
	for n, e := range f.engines {
		if !e.loadingUntil.IsZero() && !f.now.Before(e.loadingUntil) && pick(f.t, "done known", true, false) {
			f.planner.Done(n, e.order)
		}
	}
}

func (f *fleet) check() {
	loading := 0
	for _, e := range f.engines {
		if f.now.Before(e.loadingUntil) {
			loading++
		}
	}
	if loading > f.limit {
		f.t.Fatalf("%d concurrent loads, the limit is %d", loading, f.limit)
	}
}

func TestConcurrentLoadsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: begin, orders: NewOrders(nil), engines: make(map[string]*engine), limit: pick(t, "limit", 2, 3)}
		for n := range 6 {
			f.engines[fmt.Sprint("s", n)] = &engine{checksFencing: n%2 == 0}
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
				f.planner.Request(f.load())
			}
			f.decide()
			f.check()
		}
	})
}

func TestDecideReportsChangedReasons(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner(7, begin.Add(time.Second), WithMaxConcurrentLoads("o", 1), WithStoreRate(1000))
	for _, s := range []string{"a", "b", "c"} {
		p.Request(Load{Server: s, Owner: "o", Bytes: 1000, ChecksFencing: s != "c"})
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
	c.Assert(p.Requested(), qt.Equals, 1)
}

func TestOrdersRejectLowerFencesAndReopening(t *testing.T) {
	c := qt.New(t)
	s := NewOrders(nil)
	order := func(term, sequence uint64, done bool) bool {
		o := Order{Load: Load{Server: "a"}, Fence: Fence{term, sequence}, Deadline: begin.Add(orderTimeout)}
		return s.Apply(o.ToProto(done))
	}
	c.Assert(order(2, 1, false), qt.IsTrue)
	c.Assert(order(1, 9, false), qt.IsFalse)
	c.Assert(s.Open(begin), qt.HasLen, 1)
	c.Assert(s.Open(begin.Add(orderTimeout)), qt.HasLen, 0)
	c.Assert(order(2, 1, true), qt.IsTrue)
	c.Assert(order(2, 1, false), qt.IsFalse)
	c.Assert(s.Open(begin), qt.HasLen, 0)
}
