package masticroute

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticprompt"
)

// TestStoreThatIsDownIsAvoided guards against fetches from a store that is down: each engine
// that was to fetch from it lost some hundred ms.
func TestStoreThatIsDownIsAvoided(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := New(WithSharedLoad())
	r.stores = []store{{address: "store"}}
	late := &Work{Fetch: "store", StartedAt: now.Add(-time.Second), Predicted: 500 * time.Millisecond}
	soon := &Work{Fetch: "store", StartedAt: now.Add(-time.Second), Predicted: 900 * time.Millisecond}
	for range storeOverrunLimit - 1 {
		r.observeStore(now, late)
	}
	r.observeStore(now, soon)
	for range storeOverrunLimit - 1 {
		r.observeStore(now, late)
		c.Assert(r.storeUsable(now, "store"), qt.IsTrue)
	}
	r.observeStore(now, late)
	c.Assert(r.storeUsable(now, "store"), qt.IsFalse)
	c.Assert(r.storeUsable(now.Add(storeCooldown), "store"), qt.IsTrue)
}

// threeStores returns a router that knows three stores in the given order.
func threeStores(order ...int) *Router {
	r := New(WithSharedLoad())
	for _, i := range order {
		r.stores = append(r.stores, store{address: string(rune('a' + i))})
	}
	return r
}

// TestEachPrefixHasOneStore guards against unused stores: at a grown site with three stores, all
// prompts were saved in the last one that lacked them and looked up in the first, so that a
// third of the capacity and of the links was used. All hosts choose the same store for a prefix,
// in whatever order they know the stores; prefixes are spread, and a store that is down moves
// only its own.
func TestEachPrefixHasOneStore(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	a, b := threeStores(0, 1, 2), threeStores(2, 0, 1)
	down := threeStores(0, 1, 2)
	down.storeHealth = map[string]*storeHealth{"a": {downUntil: now.Add(time.Second)}}
	const prefixes = 300
	count := map[string]int{}
	for i := range prefixes {
		q := longQuery(fmt.Sprint("prefix", i), "own")
		pieces := q.Prompt.Pieces(masticprompt.Seed{Model: "m"})
		home, ok := a.homeStore(now, pieces)
		c.Assert(ok, qt.IsTrue)
		other, _ := b.homeStore(now, pieces)
		c.Assert(other, qt.Equals, home)
		own := longQuery(fmt.Sprint("prefix", i), "another").Prompt.Pieces(masticprompt.Seed{Model: "m"})
		other, _ = a.homeStore(now, own)
		c.Assert(other, qt.Equals, home)
		count[home.address]++
		moved, _ := down.homeStore(now, pieces)
		if home.address != "a" {
			c.Assert(moved, qt.Equals, home)
		}
		c.Assert(moved.address, qt.Not(qt.Equals), "a")
	}
	for _, n := range count {
		c.Assert(n > prefixes/5, qt.IsTrue, qt.Commentf("%v", count))
	}
	_, ok := New().homeStore(now, nil)
	c.Assert(ok, qt.IsFalse)
}
