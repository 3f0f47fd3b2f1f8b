package masticplace

import (
	"errors"
	"maps"
	"slices"
	"time"

	"masticladder/masticproto"
)

// ErrServerLeaving is the error of an order whose backend server stated that it is leaving.
var ErrServerLeaving = errors.New("the backend server states that it is leaving")

// ToProto returns the order as a command of the replicated log.
func (o Order) ToProto(done bool) *masticproto.LoadOrder {
	return &masticproto.LoadOrder{
		Server: o.Server, Model: o.Model, WeightsVersion: o.WeightsVersion,
		FenceTerm: o.Fence.Term, FenceSequence: o.Fence.Sequence,
		DeadlineUnixMs: o.Deadline.UnixMilli(), Done: done, Owner: o.Owner, ChecksFencing: o.ChecksFencing,
	}
}

// OrderFromProto returns the order recorded in p.
func OrderFromProto(p *masticproto.LoadOrder) Order {
	return Order{
		Load: Load{
			Server: p.GetServer(), Owner: p.GetOwner(), Model: p.GetModel(),
			WeightsVersion: p.GetWeightsVersion(), ChecksFencing: p.GetChecksFencing(),
		},
		Fence:    fenceOf(p),
		Deadline: time.UnixMilli(p.GetDeadlineUnixMs()),
	}
}

func fenceOf(p *masticproto.LoadOrder) Fence { return Fence{p.GetFenceTerm(), p.GetFenceSequence()} }

// Orders is the replicated table of the last order to each backend server.
type Orders struct {
	last map[string]*masticproto.LoadOrder
}

// NewOrders returns Orders built from records, which may come in any order.
func NewOrders(records []*masticproto.LoadOrder) *Orders {
	s := &Orders{last: make(map[string]*masticproto.LoadOrder)}
	for _, p := range records {
		s.Apply(p)
	}
	return s
}

// Apply records p and reports whether it is now the last order to its backend server. An
// order with a lower fencing token is ignored, and so is one that would reopen a done order.
func (s *Orders) Apply(p *masticproto.LoadOrder) bool {
	old, ok := s.last[p.GetServer()]
	if ok && fenceOf(p).Less(fenceOf(old)) {
		return false
	}
	if ok && fenceOf(p) == fenceOf(old) && old.GetDone() {
		return p.GetDone()
	}
	s.last[p.GetServer()] = p
	return true
}

// Last returns the last order to server, and false if there was none. The caller must not change
// the order.
func (s *Orders) Last(server string) (*masticproto.LoadOrder, bool) {
	p, ok := s.last[server]
	return p, ok
}

// Records returns the last order to each backend server, sorted by server name.
func (s *Orders) Records() []*masticproto.LoadOrder {
	out := make([]*masticproto.LoadOrder, 0, len(s.last))
	for _, n := range slices.Sorted(maps.Keys(s.last)) {
		out = append(out, s.last[n])
	}
	return out
}

// Open returns the orders that are not known to be done and whose deadline is after now,
// sorted by server name.
func (s *Orders) Open(now time.Time) []Order {
	var out []Order
	for _, p := range s.Records() {
		o := OrderFromProto(p)
		if !p.GetDone() && now.Before(o.Deadline) {
			out = append(out, o)
		}
	}
	return out
}
