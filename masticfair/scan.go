package masticfair

import "slices"

// Scan offers up to limit items in the order of service. Each item that take
// accepts is removed and charged to its workspace; the others keep their places.
// take must not change the queue.
func (q *Queue[T]) Scan(limit int, take func(Item[T]) bool) {
	for _, f := range q.active {
		f.offered = 0
	}
	for ; limit > 0; limit-- {
		f := q.next()
		if f == nil {
			return
		}
		i := f.items[f.offered]
		if !take(i) {
			f.offered++
			continue
		}
		q.charge(f)
	}
}

// next returns the flow with the least key that has items not yet offered.
func (q *Queue[T]) next() *flow[T] {
	var best *flow[T]
	for _, f := range q.active {
		if f.offered == len(f.items) {
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

// charge removes the offered item of f and moves the flow's next start behind it.
func (q *Queue[T]) charge(f *flow[T]) {
	i := f.items[f.offered]
	q.virtual = max(q.virtual, q.leastStart())
	f.start += float64(i.Tokens) / f.weight
	q.remove(f, f.offered)
}

func (q *Queue[T]) leastStart() float64 {
	least := q.active[0].start
	for _, f := range q.active[1:] {
		least = min(least, f.start)
	}
	return least
}

// remove takes item at out of f without a charge.
func (q *Queue[T]) remove(f *flow[T], at int) {
	tokens := f.items[at].Tokens
	f.items = slices.Delete(f.items, at, at+1)
	f.tokens -= tokens
	q.tokens -= tokens
	q.length--
	if len(f.items) > 0 {
		return
	}
	q.active = slices.DeleteFunc(q.active, func(g *flow[T]) bool { return g == f })
	if q.length == 0 {
		q.reset()
	}
}

// reset forgets past service: nobody waits, so nobody was served before another.
func (q *Queue[T]) reset() {
	clear(q.flows)
	q.virtual = 0
}

// RemoveFunc removes the items for which drop holds, without a charge, and returns them.
func (q *Queue[T]) RemoveFunc(drop func(Item[T]) bool) []Item[T] {
	var out []Item[T]
	for _, f := range slices.Clone(q.active) {
		for at := 0; at < len(f.items); {
			if !drop(f.items[at]) {
				at++
				continue
			}
			out = append(out, f.items[at])
			q.remove(f, at)
		}
	}
	return out
}

// Ahead returns the tokens that would be served before an item of the workspace
// pushed now, were every flow served by its weight.
func (q *Queue[T]) Ahead(workspace string, weight, head int64) int64 {
	own := q.virtual
	var mine int64
	if f, ok := q.flows[workspace]; ok {
		own = max(own, f.start)
		mine = f.tokens
	}
	w := float64(max(1, weight))
	key := own + float64(mine)/w - float64(min(head, MaxHead))/w
	ahead := mine
	for _, f := range q.active {
		if f.workspace == workspace {
			continue
		}
		served := (key - f.start) * f.weight
		ahead += int64(min(max(0, served), float64(f.tokens)))
	}
	return ahead
}
