package masticfair

import (
	"slices"
	"time"
)

// Scan offers up to limit items to accept, in service order. An accepted item is removed
// and charged to its workspace; the others keep their positions. accept must not modify
// the queue.
func (q *Queue[T]) Scan(now time.Time, limit int, accept func(Item[T]) bool) {
	for _, f := range q.active {
		f.moveLate(now)
		f.offered, f.offeredLate = 0, 0
	}
	for ; limit > 0; limit-- {
		f := q.next()
		if f == nil {
			return
		}
		list, index := f.next()
		if !accept((*list)[*index]) {
			*index++
			continue
		}
		f.served++
		if list == &f.late {
			f.served = 0
		}
		q.charge(f, list, *index)
	}
}

// next returns the flow with the lowest key among those with items not yet offered, or nil.
func (q *Queue[T]) next() *flow[T] {
	var best *flow[T]
	for _, f := range q.active {
		if list, _ := f.next(); list == nil {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

func (f *flow[T]) before(g *flow[T]) bool {
	a, b := f.key(), g.key()
	if a != b {
		return a < b
	}
	return f.workspace < g.workspace
}

// charge removes the item at index from a list of f and advances the flow's virtual start by its cost.
func (q *Queue[T]) charge(f *flow[T], list *[]Item[T], index int) {
	i := (*list)[index]
	q.virtualTime = max(q.virtualTime, q.minVirtualStart())
	f.virtualStart += float64(i.Tokens) / f.weight
	q.remove(f, list, index)
}

func (q *Queue[T]) minVirtualStart() float64 {
	lowest := q.active[0].virtualStart
	for _, f := range q.active[1:] {
		lowest = min(lowest, f.virtualStart)
	}
	return lowest
}

// remove removes the item at index from a list of f without charging the workspace.
func (q *Queue[T]) remove(f *flow[T], list *[]Item[T], index int) {
	tokens := (*list)[index].Tokens
	*list = slices.Delete(*list, index, index+1)
	f.tokens -= tokens
	q.tokens -= tokens
	q.count--
	if f.len() > 0 {
		return
	}
	q.active = slices.DeleteFunc(q.active, func(g *flow[T]) bool { return g == f })
	if q.count == 0 {
		q.reset()
	}
}

// reset discards the service history once the queue is empty: with nobody waiting, no
// workspace was served at the expense of another.
func (q *Queue[T]) reset() {
	clear(q.flows)
	q.virtualTime = 0
}

// RemoveFunc removes the items for which match returns true, without charging their
// workspaces, and returns them.
func (q *Queue[T]) RemoveFunc(match func(Item[T]) bool) []Item[T] {
	var out []Item[T]
	for _, f := range slices.Clone(q.active) {
		for _, list := range []*[]Item[T]{&f.items, &f.late} {
			for index := 0; index < len(*list); {
				if !match((*list)[index]) {
					index++
					continue
				}
				out = append(out, (*list)[index])
				q.remove(f, list, index)
			}
		}
	}
	return out
}

// TokensAhead returns the number of tokens that would be served before an item of the
// workspace pushed now, assuming that every flow is served in proportion to its weight.
func (q *Queue[T]) TokensAhead(workspace string, weight, headStart int64) int64 {
	virtualStart := q.virtualTime
	var ownTokens int64
	if f, ok := q.flows[workspace]; ok {
		virtualStart = max(virtualStart, f.virtualStart)
		ownTokens = f.tokens
	}
	w := float64(max(1, weight))
	key := virtualStart + float64(ownTokens)/w - float64(min(headStart, MaxHeadStartTokens))/w
	ahead := ownTokens
	for _, f := range q.active {
		if f.workspace == workspace {
			continue
		}
		served := (key - f.virtualStart) * f.weight
		ahead += int64(min(max(0, served), float64(f.tokens)))
	}
	return ahead
}
