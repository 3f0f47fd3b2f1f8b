// Package masticplace decides which backend server loads which weights when. Only the
// leader decides; an order carries a fencing number of its term and a sequence.
package masticplace

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultOrderSpan is the time within which an order has to be carried out.
	DefaultOrderSpan = 30 * time.Second
	// DefaultLoadsAtOnce bounds the loads of an owner without a setting.
	DefaultLoadsAtOnce = 2
)

// Fence is a fencing number. A backend server that checks it refuses a lower one than it has seen.
type Fence struct{ Term, Sequence uint64 }

// Less reports whether f is lower than g.
func (f Fence) Less(g Fence) bool {
	return cmp.Or(cmp.Compare(f.Term, g.Term), cmp.Compare(f.Sequence, g.Sequence)) < 0
}

// Load is a wish that a backend server loads weights.
type Load struct {
	Server, Owner  string
	Model          string
	WeightsVersion string
	Bytes          int64
	// ChecksFencing states whether the backend server refuses a lower fencing number.
	ChecksFencing bool
}

// Order is a load that was ordered. It counts as running until it is done or its deadline
// has passed: a backend server that has not ended a load by then is taken to give it up.
type Order struct {
	Load
	Fence    Fence
	Deadline time.Time
}

// Reason says why a decision was taken.
type Reason string

// The reasons.
const (
	ReasonFree        Reason = "free"
	ReasonOwnerBusy   Reason = "ownerBusy"
	ReasonServerBusy  Reason = "serverBusy"
	ReasonStoreBusy   Reason = "storeBusy"
	ReasonFormerOrder Reason = "formerOrderMayRun"
	ReasonFailed      Reason = "lastOrderFailed"
)

// Decision is one decision, to be logged on one line.
type Decision struct {
	Load   Load
	Reason Reason
	// Order is nil where the load has to wait.
	Order *Order
	// Running is the owner's number of running loads before the decision and Limit its bound.
	Running, Limit int
	// Until is when a waiting load is considered again, zero where that depends on an order's end.
	Until time.Time
}

// Planner decides for one leader's term. It is used by one goroutine.
type Planner struct {
	term      uint64
	sequence  uint64
	limits    map[string]int
	limitOf   func(owner string) int
	span      time.Duration
	storeRate int64
	storeFree time.Time
	// unfencedFrom is when the last order of an earlier leader can have been sent.
	unfencedFrom time.Time
	running      map[string]Order
	// paused is until when backend servers are not ordered, since an order to them failed.
	paused  map[string]time.Time
	wishes  []Load
	waiting map[string]Reason
}

// Option sets a property of a Planner.
type Option func(*Planner)

// WithLoadsAtOnce bounds the running loads on the backend servers of owner.
func WithLoadsAtOnce(owner string, n int) Option {
	return func(p *Planner) { p.limits[owner] = n }
}

// WithLimit bounds the running loads of owners without a bound of their own.
func WithLimit(f func(owner string) int) Option { return func(p *Planner) { p.limitOf = f } }

// WithStoreRate bounds what the weight store is asked for, in bytes per second.
func WithStoreRate(bytesPerSecond int64) Option {
	return func(p *Planner) { p.storeRate = bytesPerSecond }
}

// WithOrderSpan sets the time from an order to its deadline.
func WithOrderSpan(d time.Duration) Option { return func(p *Planner) { p.span = d } }

// WithFormer gives the orders of earlier leaders that are not known to be done.
func WithFormer(orders []Order) Option {
	return func(p *Planner) {
		for _, o := range orders {
			p.running[o.Server] = o
		}
	}
}

// WithSupersede has former orders to backend servers that check fencing numbers hold no
// place: this leader's orders go before them. It is for servers that carry out one order at
// a time and refuse one that does not state how many they accepted before. It follows WithFormer.
func WithSupersede() Option {
	return func(p *Planner) {
		for server, o := range p.running {
			if o.ChecksFencing {
				delete(p.running, server)
			}
		}
	}
}

// NewPlanner returns the planner of the leader of term. At quorumEnd the quorum lease of the
// leader before it has ended, so that it can have sent nothing later.
func NewPlanner(term uint64, quorumEnd time.Time, options ...Option) *Planner {
	p := &Planner{
		term: term, limits: make(map[string]int), span: DefaultOrderSpan, unfencedFrom: quorumEnd,
		running: make(map[string]Order), paused: make(map[string]time.Time), waiting: make(map[string]Reason),
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Pending reports whether l is ordered already and may be running at now.
func (p *Planner) Pending(now time.Time, l Load) bool {
	o, ok := p.running[l.Server]
	return ok && o.Model == l.Model && o.WeightsVersion == l.WeightsVersion && now.Before(o.Deadline)
}

// Ordered reports whether an order to server may be running at now.
func (p *Planner) Ordered(now time.Time, server string) bool {
	o, ok := p.running[server]
	return ok && now.Before(o.Deadline)
}

// Want adds a wish; a later one for the same backend server replaces it.
func (p *Planner) Want(l Load) {
	if slices.Contains(p.wishes, l) {
		return
	}
	if i := slices.IndexFunc(p.wishes, func(w Load) bool { return w.Server == l.Server }); i >= 0 {
		p.wishes = slices.Delete(p.wishes, i, i+1)
		delete(p.waiting, l.Server)
	}
	p.wishes = append(p.wishes, l)
}

// Withdraw drops all wishes; the caller states them again, the most urgent first.
func (p *Planner) Withdraw() { p.wishes = nil }

// Wishes returns the number of wishes without an order.
func (p *Planner) Wishes() int { return len(p.wishes) }

// Running returns the number of loads of owner that may be running at now.
func (p *Planner) Running(now time.Time, owner string) int {
	n := 0
	for _, o := range p.running {
		if o.Owner == owner && now.Before(o.Deadline) {
			n++
		}
	}
	return n
}

// Decide returns the orders to commit and send, and each wish whose reason to wait has
// changed. An order must be committed before it is sent.
func (p *Planner) Decide(now time.Time) []Decision {
	var out []Decision
	kept := p.wishes[:0]
	for _, l := range p.wishes {
		d := p.decide(now, l)
		if d.Order == nil {
			kept = append(kept, l)
		}
		if d.Order != nil || p.waiting[l.Server] != d.Reason {
			out = append(out, d)
		}
		p.waiting[l.Server] = d.Reason
		if d.Order != nil {
			delete(p.waiting, l.Server)
		}
	}
	p.wishes = kept
	return out
}

func (p *Planner) decide(now time.Time, l Load) Decision {
	d := Decision{Load: l, Running: p.Running(now, l.Owner), Limit: p.limit(l.Owner)}
	d.Reason, d.Until = p.obstacle(now, l, d)
	if d.Reason != ReasonFree {
		return d
	}
	p.sequence++
	o := Order{Load: l, Fence: Fence{p.term, p.sequence}, Deadline: now.Add(p.span)}
	p.running[l.Server] = o
	if p.storeRate > 0 {
		p.storeFree = now.Add(transferTime(l.Bytes, p.storeRate))
	}
	d.Order = &o
	return d
}

// obstacle returns what keeps l from being ordered at now, or ReasonFree.
func (p *Planner) obstacle(now time.Time, l Load, d Decision) (Reason, time.Time) {
	if !l.ChecksFencing && now.Before(p.unfencedFrom) {
		return ReasonFormerOrder, p.unfencedFrom
	}
	if o, ok := p.running[l.Server]; ok && now.Before(o.Deadline) {
		if o.Fence.Term != p.term {
			return ReasonFormerOrder, o.Deadline
		}
		return ReasonServerBusy, o.Deadline
	}
	if until := p.paused[l.Server]; now.Before(until) {
		return ReasonFailed, until
	}
	delete(p.paused, l.Server)
	if d.Running >= d.Limit {
		return ReasonOwnerBusy, time.Time{}
	}
	if now.Before(p.storeFree) {
		return ReasonStoreBusy, p.storeFree
	}
	return ReasonFree, time.Time{}
}

func (p *Planner) limit(owner string) int {
	if n, ok := p.limits[owner]; ok {
		return n
	}
	if p.limitOf != nil {
		return p.limitOf(owner)
	}
	return DefaultLoadsAtOnce
}

// Done notes that the order with the given fencing number has ended. An answer to another
// order is ignored.
func (p *Planner) Done(server string, f Fence) {
	if o, ok := p.running[server]; ok && o.Fence == f {
		delete(p.running, server)
	}
}

// Failed notes that the order with the given fencing number failed, and that the backend
// server is not ordered again before retryAt. It does not count as running any more.
func (p *Planner) Failed(server string, f Fence, retryAt time.Time) {
	if o, ok := p.running[server]; ok && o.Fence == f {
		delete(p.running, server)
		p.paused[server] = retryAt
	}
}

// transferTime returns in what time the store gives size bytes.
func transferTime(size, bytesPerSecond int64) time.Duration {
	seconds := float64(size) / float64(bytesPerSecond)
	return time.Duration(seconds * float64(time.Second))
}
