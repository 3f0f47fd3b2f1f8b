// Package masticfair implements a weighted fair queue over workspaces. Each workspace is
// served tokens in proportion to its weight. Within a workspace, items that can still meet their
// deadline go before those that cannot; both are ordered by rank, then by the latest time at which
// they have to start.
package masticfair

import (
	"cmp"
	"slices"
	"time"
)

// Item is a queued request.
type Item[T any] struct {
	Workspace string
	Weight    int64
	// Tokens is the cost of serving the item.
	Tokens int64
	// Deadline is when the first token is due.
	Deadline time.Time
	// StartBy is the latest time at which the item has to be served to meet Deadline; Deadline itself if zero.
	StartBy time.Time
	// Rank orders the items of a workspace, the smaller before the larger.
	Rank int64
	// HeadStartTokens is how far ahead of its workspace's turn the item may be served, in
	// tokens at weight one. It is capped at MaxHeadStartTokens.
	HeadStartTokens int64
	Value           T
}

// MaxHeadStartTokens is the upper bound of Item.HeadStartTokens.
const MaxHeadStartTokens = 20000

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	flows map[string]*flow[T]
	// active are the flows with queued items.
	active []*flow[T]
	// virtualTime is the number of tokens that a flow of weight one would have been served.
	virtualTime float64
	count       int
	tokens      int64
}

// flow holds the queued items of one workspace.
type flow[T any] struct {
	workspace string
	weight    float64
	// virtualStart is the virtual time at which the flow's next item starts service.
	virtualStart float64
	// items can still meet their deadline, late could when they were pushed.
	items, late []Item[T]
	tokens      int64
	// offered and offeredLate are the numbers of items at the fronts of items and late that were offered by the
	// current Scan and not accepted.
	offered, offeredLate int
	// served counts the items served since a late one was.
	served int
}

// lateInterval is the number of items of a workspace of which at least one is late if there are late ones, so that these are
// served in a lasting overload too.
const lateInterval = 4

// len returns the number of items.
func (f *flow[T]) len() int { return len(f.items) + len(f.late) }

// New returns an empty Queue.
func New[T any]() *Queue[T] { return &Queue[T]{flows: map[string]*flow[T]{}} }

// Len returns the number of items of all workspaces.
func (q *Queue[T]) Len() int { return q.count }

// Tokens returns the total cost of all items.
func (q *Queue[T]) Tokens() int64 { return q.tokens }

// Push adds an item to the flow of its workspace, and applies its weight to the flow.
func (q *Queue[T]) Push(i Item[T]) {
	f, ok := q.flows[i.Workspace]
	if !ok {
		f = &flow[T]{workspace: i.Workspace}
		q.flows[i.Workspace] = f
	}
	if f.len() == 0 {
		f.virtualStart = max(f.virtualStart, q.virtualTime)
		q.active = append(q.active, f)
	}
	f.weight = float64(max(1, i.Weight))
	if i.StartBy.IsZero() {
		i.StartBy = i.Deadline
	}
	f.items = insert(f.items, i)
	f.tokens += i.Tokens
	q.count++
	q.tokens += i.Tokens
}

// insert returns items with i after all that do not come after it.
func insert[T any](items []Item[T], i Item[T]) []Item[T] {
	index, _ := slices.BinarySearchFunc(items, i, func(a, b Item[T]) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.StartBy.Compare(b.StartBy), -1)
	})
	return slices.Insert(items, index, i)
}

// moveLate moves the items that can no longer meet their deadlines at now.
func (f *flow[T]) moveLate(now time.Time) {
	kept := f.items[:0]
	for _, i := range f.items {
		if i.StartBy.Before(now) {
			f.late = insert(f.late, i)
			continue
		}
		kept = append(kept, i)
	}
	clear(f.items[len(kept):])
	f.items = kept
}

// next returns the list with the item that is offered next, and its index there; nil if all were offered.
func (f *flow[T]) next() (list *[]Item[T], index *int) {
	lateTurn := f.served >= lateInterval-1 && f.offeredLate == 0
	switch {
	case len(f.late) > f.offeredLate && (lateTurn || f.offered == len(f.items)):
		return &f.late, &f.offeredLate
	case len(f.items) > f.offered:
		return &f.items, &f.offered
	}
	return nil, nil
}

// first returns the item that is served first.
func (f *flow[T]) first() Item[T] {
	if len(f.items) > 0 {
		return f.items[0]
	}
	return f.late[0]
}

// key returns the sort key of the flow; the flow with the lowest key is served first.
func (f *flow[T]) key() float64 {
	return f.virtualStart - float64(min(f.first().HeadStartTokens, MaxHeadStartTokens))/f.weight
}
