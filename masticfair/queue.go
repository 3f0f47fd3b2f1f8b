// Package masticfair implements a weighted fair queue over workspaces. Each workspace is
// served tokens in proportion to its weight; within a workspace, items are ordered by
// earliest deadline.
package masticfair

import (
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
	items        []Item[T]
	tokens       int64
	// offered is the number of items at the front that were offered by the current Scan and
	// not accepted.
	offered int
}

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
	if len(f.items) == 0 {
		f.virtualStart = max(f.virtualStart, q.virtualTime)
		q.active = append(q.active, f)
	}
	f.weight = float64(max(1, i.Weight))
	f.insert(i)
	f.tokens += i.Tokens
	q.count++
	q.tokens += i.Tokens
}

func (f *flow[T]) insert(i Item[T]) {
	index, _ := slices.BinarySearchFunc(f.items, i, func(a, b Item[T]) int {
		if c := a.Deadline.Compare(b.Deadline); c != 0 {
			return c
		}
		return -1
	})
	f.items = slices.Insert(f.items, index, i)
}

// key returns the sort key of the flow; the flow with the lowest key is served first.
func (f *flow[T]) key() float64 {
	return f.virtualStart - float64(min(f.items[0].HeadStartTokens, MaxHeadStartTokens))/f.weight
}
