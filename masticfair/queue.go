// Package masticfair is a queue shared by workspaces: each gets service in tokens
// by its weight, and within a workspace the earliest deadline goes first.
package masticfair

import (
	"slices"
	"time"
)

// Item is a queued request.
type Item[T any] struct {
	Workspace string
	Weight    int64
	// Tokens is what the item's service costs.
	Tokens int64
	// Deadline is when the first token is due.
	Deadline time.Time
	// Head is how far, in tokens at weight one, the item may go ahead of its
	// workspace's turn; see MaxHead.
	Head  int64
	Value T
}

// MaxHead bounds Item.Head, in tokens.
const MaxHead = 20000

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	flows map[string]*flow[T]
	// active are the flows with items.
	active []*flow[T]
	// virtual is the virtual time: the service that a flow of weight one would have had.
	virtual float64
	length  int
	tokens  int64
}

// flow is the part of one workspace.
type flow[T any] struct {
	workspace string
	weight    float64
	// start is the virtual time at which the flow's next service starts.
	start  float64
	items  []Item[T]
	tokens int64
	// offered counts the items at the front that the running Scan has left in place.
	offered int
}

// New returns an empty Queue.
func New[T any]() *Queue[T] { return &Queue[T]{flows: map[string]*flow[T]{}} }

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.length }

// Tokens returns the cost of all items.
func (q *Queue[T]) Tokens() int64 { return q.tokens }

// Push adds an item.
func (q *Queue[T]) Push(i Item[T]) {
	f, ok := q.flows[i.Workspace]
	if !ok {
		f = &flow[T]{workspace: i.Workspace}
		q.flows[i.Workspace] = f
	}
	if len(f.items) == 0 {
		f.start = max(f.start, q.virtual)
		q.active = append(q.active, f)
	}
	f.weight = float64(max(1, i.Weight))
	f.insert(i)
	f.tokens += i.Tokens
	q.length++
	q.tokens += i.Tokens
}

func (f *flow[T]) insert(i Item[T]) {
	at, _ := slices.BinarySearchFunc(f.items, i, func(a, b Item[T]) int {
		if c := a.Deadline.Compare(b.Deadline); c != 0 {
			return c
		}
		return -1
	})
	f.items = slices.Insert(f.items, at, i)
}

// key orders the flows; a lower one is served first.
func (f *flow[T]) key() float64 {
	return f.start - float64(min(f.items[0].Head, MaxHead))/f.weight
}
