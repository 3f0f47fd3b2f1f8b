// Package masticplace schedules the loading of weights on backend servers. Only the leader
// issues orders; each carries a fencing token made of the leader's term and a sequence number.
package masticplace

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultOrderTimeout is the time from an order to its deadline.
	DefaultOrderTimeout = 30 * time.Second
	// DefaultMaxConcurrentLoads bounds the running loads of an owner without a configured limit.
	DefaultMaxConcurrentLoads = 2
)

// Fence is a fencing token. A backend server that checks it refuses a token lower than the
// highest that it has seen.
type Fence struct{ Term, Sequence uint64 }

// Less reports whether f is lower than g.
func (f Fence) Less(g Fence) bool {
	return cmp.Or(cmp.Compare(f.Term, g.Term), cmp.Compare(f.Sequence, g.Sequence)) < 0
}

// Load is a request that a backend server load weights.
type Load struct {
	Server, Owner  string
	Model          string
	WeightsVersion string
	Bytes          int64
	// ChecksFencing reports whether the backend server refuses a lower fencing token.
	ChecksFencing bool
}

// Order is a load order: a load that the leader tells a backend server to do, unlike the orders of
// masticcall, which are calls that run at most once. It counts as running until it is done or its
// deadline has passed: a backend server that has not finished a load by then is assumed to abort it.
type Order struct {
	Load
	Fence    Fence
	Deadline time.Time
}

// Reason is why a load was ordered or has to wait.
type Reason string

// The reasons. ReasonFree is that of an ordered load, the others are those of loads that wait.
const (
	ReasonFree        Reason = "free"
	ReasonOwnerBusy   Reason = "ownerBusy"
	ReasonServerBusy  Reason = "serverBusy"
	ReasonStoreBusy   Reason = "storeBusy"
	ReasonFormerOrder Reason = "formerOrderMayRun"
	ReasonFailed      Reason = "lastOrderFailed"
)

// Decision is the decision about one requested load.
type Decision struct {
	Load   Load
	Reason Reason
	// Order is nil if the load has to wait.
	Order *Order
	// Running is the owner's number of running loads before the decision, and Limit the upper
	// bound of that number.
	Running, Limit int
	// Until is when a waiting load is considered again. It is zero if that depends on the end
	// of another order.
	Until time.Time
}

// Planner schedules loads during one leader's term. It is not safe for concurrent use.
type Planner struct {
	term                uint64
	sequence            uint64
	ownerLimits         map[string]int
	defaultLimit        func(owner string) int
	orderTimeout        time.Duration
	storeBytesPerSecond int64
	storeFreeAt         time.Time
	// unfencedAllowedAt is the latest time at which an earlier leader can have sent an order.
	// Backend servers that do not check fencing get no order before it.
	unfencedAllowedAt time.Time
	running           map[string]Order
	// superseded holds the deadlines of the orders of earlier leaders that do not count as running, by server.
	superseded map[string]time.Time
	// retryAt is, for backend servers whose last order failed, when they may get another.
	retryAt     map[string]time.Time
	requested   []Load
	waitReasons map[string]Reason
}

// Option configures a Planner.
type Option func(*Planner)

// WithMaxConcurrentLoads sets the maximum number of concurrent loads on the backend servers of
// owner.
func WithMaxConcurrentLoads(owner string, n int) Option {
	return func(p *Planner) { p.ownerLimits[owner] = n }
}

// WithDefaultMaxConcurrentLoads sets the maximum number of concurrent loads for owners without
// WithMaxConcurrentLoads.
func WithDefaultMaxConcurrentLoads(f func(owner string) int) Option {
	return func(p *Planner) { p.defaultLimit = f }
}

// WithStoreRate bounds the transfer rate requested from the weight store.
func WithStoreRate(bytesPerSecond int64) Option {
	return func(p *Planner) { p.storeBytesPerSecond = bytesPerSecond }
}

// WithOrderTimeout sets the time from an order to its deadline.
func WithOrderTimeout(d time.Duration) Option { return func(p *Planner) { p.orderTimeout = d } }

// WithPreviousOrders sets the orders of earlier leaders that are not known to be done. They count
// as running.
func WithPreviousOrders(orders []Order) Option {
	return func(p *Planner) {
		for _, o := range orders {
			p.running[o.Server] = o
		}
	}
}

// WithSupersede removes the orders of earlier leaders to backend servers that check fencing
// tokens, so that they do not count as running: this leader's orders supersede them. It is for
// servers that run one load at a time and accept an order only if it states the number of orders
// they have accepted so far. It must come after WithPreviousOrders. Such servers are ordered first: they
// may still load, and with others ordered more than allowed would load at once.
func WithSupersede() Option {
	return func(p *Planner) {
		for server, o := range p.running {
			if o.ChecksFencing {
				p.superseded[server] = o.Deadline
				delete(p.running, server)
			}
		}
	}
}

// NewPlanner returns the Planner of the leader of term. The leader lease of the previous
// leader has ended by previousLeaseEnd, so that leader can have sent no order later.
func NewPlanner(term uint64, previousLeaseEnd time.Time, options ...Option) *Planner {
	p := &Planner{
		term: term, ownerLimits: make(map[string]int), orderTimeout: DefaultOrderTimeout, unfencedAllowedAt: previousLeaseEnd,
		running: make(map[string]Order), superseded: make(map[string]time.Time), retryAt: make(map[string]time.Time), waitReasons: make(map[string]Reason),
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// InProgress reports whether l was ordered and may still be running at now.
func (p *Planner) InProgress(now time.Time, l Load) bool {
	o, ok := p.running[l.Server]
	return ok && o.Model == l.Model && o.WeightsVersion == l.WeightsVersion && now.Before(o.Deadline)
}

// Ordered reports whether an order to server may be running at now.
func (p *Planner) Ordered(now time.Time, server string) bool {
	o, ok := p.running[server]
	return ok && now.Before(o.Deadline)
}

// Request requests a load. It replaces an earlier request for the same backend server.
func (p *Planner) Request(l Load) {
	if slices.Contains(p.requested, l) {
		return
	}
	if i := slices.IndexFunc(p.requested, func(w Load) bool { return w.Server == l.Server }); i >= 0 {
		p.requested = slices.Delete(p.requested, i, i+1)
		delete(p.waitReasons, l.Server)
	}
	p.requested = append(p.requested, l)
}

// ClearRequests removes all requested loads. The caller then adds them again with Request, the most
// urgent first.
func (p *Planner) ClearRequests() { p.requested = nil }

// Requested returns the number of requested loads that were not ordered yet.
func (p *Planner) Requested() int { return len(p.requested) }

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

// Decide returns the orders to commit and send, and the requested loads whose reason to wait
// has changed since the last call. An order must be committed before it is sent.
func (p *Planner) Decide(now time.Time) []Decision {
	var out []Decision
	p.sortSuperseded(now)
	remaining := p.requested[:0]
	for _, l := range p.requested {
		d := p.decide(now, l)
		if d.Order == nil {
			remaining = append(remaining, l)
		}
		if d.Order != nil || p.waitReasons[l.Server] != d.Reason {
			out = append(out, d)
		}
		p.waitReasons[l.Server] = d.Reason
		if d.Order != nil {
			delete(p.waitReasons, l.Server)
		}
	}
	p.requested = remaining
	return out
}

// sortSuperseded moves the requested loads of servers that may still carry out a superseded order before the others.
func (p *Planner) sortSuperseded(now time.Time) {
	if len(p.superseded) == 0 {
		return
	}
	slices.SortStableFunc(p.requested, func(a, b Load) int {
		return cmp.Compare(p.supersededRank(now, a.Server), p.supersededRank(now, b.Server))
	})
}

func (p *Planner) supersededRank(now time.Time, server string) int {
	if now.Before(p.superseded[server]) {
		return 0
	}
	return 1
}

func (p *Planner) decide(now time.Time, l Load) Decision {
	d := Decision{Load: l, Running: p.Running(now, l.Owner), Limit: p.limit(l.Owner)}
	d.Reason, d.Until = p.waitReason(now, l, d)
	if d.Reason != ReasonFree {
		return d
	}
	p.sequence++
	o := Order{Load: l, Fence: Fence{p.term, p.sequence}, Deadline: now.Add(p.orderTimeout)}
	p.running[l.Server] = o
	delete(p.superseded, l.Server)
	if p.storeBytesPerSecond > 0 {
		p.storeFreeAt = now.Add(transferTime(l.Bytes, p.storeBytesPerSecond))
	}
	d.Order = &o
	return d
}

// waitReason returns why l cannot be ordered at now, or ReasonFree, and the time for
// Decision.Until.
func (p *Planner) waitReason(now time.Time, l Load, d Decision) (Reason, time.Time) {
	if !l.ChecksFencing && now.Before(p.unfencedAllowedAt) {
		return ReasonFormerOrder, p.unfencedAllowedAt
	}
	if o, ok := p.running[l.Server]; ok && now.Before(o.Deadline) {
		if o.Fence.Term != p.term {
			return ReasonFormerOrder, o.Deadline
		}
		return ReasonServerBusy, o.Deadline
	}
	if until := p.retryAt[l.Server]; now.Before(until) {
		return ReasonFailed, until
	}
	delete(p.retryAt, l.Server)
	if d.Running >= d.Limit {
		return ReasonOwnerBusy, time.Time{}
	}
	if now.Before(p.storeFreeAt) {
		return ReasonStoreBusy, p.storeFreeAt
	}
	return ReasonFree, time.Time{}
}

func (p *Planner) limit(owner string) int {
	if n, ok := p.ownerLimits[owner]; ok {
		return n
	}
	if p.defaultLimit != nil {
		return p.defaultLimit(owner)
	}
	return DefaultMaxConcurrentLoads
}

// Done records that the order with the given fencing token has ended. The end of any other
// order is ignored.
func (p *Planner) Done(server string, f Fence) {
	if o, ok := p.running[server]; ok && o.Fence == f {
		delete(p.running, server)
	}
}

// Failed records that the order with the given fencing token failed. It no longer counts as
// running, and the backend server gets no order before retryAt.
func (p *Planner) Failed(server string, f Fence, retryAt time.Time) {
	if o, ok := p.running[server]; ok && o.Fence == f {
		delete(p.running, server)
		p.retryAt[server] = retryAt
	}
}

// transferTime returns how long the weight store takes to transfer size bytes.
func transferTime(size, bytesPerSecond int64) time.Duration {
	seconds := float64(size) / float64(bytesPerSecond)
	return time.Duration(seconds * float64(time.Second))
}
