package masticview

import (
	"cmp"
	"hash/maphash"
	"iter"
	"maps"
	"slices"
)

// tableShards is the number of shards of a table. Changing one item copies only its shard.
const tableShards = 256

var tableSeed = maphash.MakeSeed()

// table is an immutable map. The zero table is empty.
type table[K comparable, T any] struct {
	shards *[tableShards]map[K]T
	count  int
}

func shardOf[K comparable](k K) int {
	return int(maphash.Comparable(tableSeed, k) % tableShards)
}

func (t table[K, T]) get(k K) (T, bool) {
	if t.shards == nil {
		var zero T
		return zero, false
	}
	v, ok := t.shards[shardOf(k)][k]
	return v, ok
}

func (t table[K, T]) with(k K, v T) table[K, T] {
	e := newTableEdit(t)
	e.put(k, v)
	return e.table
}

// all returns the items in no order.
func (t table[K, T]) all() iter.Seq[T] {
	return func(yield func(T) bool) {
		if t.shards == nil {
			return
		}
		for _, m := range t.shards {
			for _, v := range m {
				if !yield(v) {
					return
				}
			}
		}
	}
}

func (t table[K, T]) values() []T {
	out := make([]T, 0, t.count)
	if t.shards == nil {
		return out
	}
	for _, m := range t.shards {
		out = slices.AppendSeq(out, maps.Values(m))
	}
	return out
}

// tableEdit is a mutable copy of a table. It copies a shard before its first change to it.
type tableEdit[K comparable, T any] struct {
	table[K, T]
	copied *[tableShards]bool
}

func newTableEdit[K comparable, T any](t table[K, T]) tableEdit[K, T] {
	return tableEdit[K, T]{table: t}
}

// shard returns the shard of k for writing, and copies it on first use.
func (e *tableEdit[K, T]) shard(k K) map[K]T {
	if e.copied == nil {
		e.copyShardArray()
	}
	i := shardOf(k)
	if !e.copied[i] {
		m := make(map[K]T, len(e.shards[i])+1)
		maps.Copy(m, e.shards[i])
		e.shards[i] = m
		e.copied[i] = true
	}
	return e.shards[i]
}

func (e *tableEdit[K, T]) copyShardArray() {
	e.copied = new([tableShards]bool)
	shards := new([tableShards]map[K]T)
	if e.shards != nil {
		*shards = *e.shards
	}
	e.shards = shards
}

func (e *tableEdit[K, T]) put(k K, v T) {
	m := e.shard(k)
	if _, ok := m[k]; !ok {
		e.count++
	}
	m[k] = v
}

func (e *tableEdit[K, T]) remove(k K) {
	if _, ok := e.get(k); !ok {
		return
	}
	delete(e.shard(k), k)
	e.count--
}

func sorted[K comparable, T any, N cmp.Ordered](t table[K, T], name func(T) N) []T {
	out := t.values()
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}
