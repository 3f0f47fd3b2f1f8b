package masticfair

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// overload is a queue of one workspace that gets more than it can serve: a token takes a millisecond.
type overload struct {
	queue  *Queue[overloadItem]
	random *rand.Rand
	// arrived, served and inTarget count items by size, from 1 to 10 tokens, and rank.
	arrived, served, inTarget map[[2]int64]int
}

type overloadItem struct {
	size, rank   int64
	target, ends time.Time
}

// run offers load times the capacity for a minute. Items may be served for 4 s and are on time within 400 ms.
func (o *overload) run(load float64, ranks int64) {
	const meanTokens = 5.5
	now := start
	arrival := now
	for now.Before(start.Add(time.Minute)) {
		for !arrival.After(now) {
			i := overloadItem{size: 1 + o.random.Int64N(10), rank: o.random.Int64N(ranks), target: arrival.Add(400 * time.Millisecond), ends: arrival.Add(4 * time.Second)}
			o.arrived[[2]int64{i.size, i.rank}]++
			o.queue.Push(Item[overloadItem]{
				Workspace: "w", Weight: 1, Tokens: i.size, Rank: i.rank, Deadline: i.target, Value: i,
				StartBy: i.target.Add(-time.Duration(i.size) * time.Millisecond),
			})
			arrival = arrival.Add(time.Duration(o.random.ExpFloat64() / load * meanTokens * float64(time.Millisecond)))
		}
		o.queue.RemoveFunc(func(i Item[overloadItem]) bool { return !now.Before(i.Value.ends) })
		taken := int64(1)
		o.queue.Scan(now, 1, func(i Item[overloadItem]) bool {
			v := i.Value
			taken = v.size
			o.served[[2]int64{v.size, v.rank}]++
			if !now.Add(time.Duration(v.size) * time.Millisecond).After(v.target) {
				o.inTarget[[2]int64{v.size, v.rank}]++
			}
			return true
		})
		now = now.Add(time.Duration(taken) * time.Millisecond)
	}
}

func newOverload() *overload {
	return &overload{
		queue: New[overloadItem](), random: rand.New(rand.NewPCG(1, 1)),
		arrived: map[[2]int64]int{}, served: map[[2]int64]int{}, inTarget: map[[2]int64]int{},
	}
}

// sum returns the sum of the counts for which counted holds.
func sum(counts map[[2]int64]int, counted func(size, rank int64) bool) float64 {
	n := 0
	for k, v := range counts {
		if counted(k[0], k[1]) {
			n += v
		}
	}
	return float64(n)
}

func all(int64, int64) bool { return true }

// TestLateItemsDelayThoseOnTime: items whose targets had passed went first, so that in an overload every item was late.
func TestLateItemsDelayThoseOnTime(t *testing.T) {
	for _, load := range []float64{1.2, 2, 3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			c := qt.New(t)
			o := newOverload()
			o.run(load, 1)
			share := sum(o.inTarget, all) / sum(o.arrived, all)
			t.Logf("in target %.2f of those that arrived, served %.2f", share, sum(o.served, all)/sum(o.arrived, all))
			c.Check(share >= 0.65/load, qt.IsTrue, qt.Commentf("%.2f in target", share))
		})
	}
}

// TestLargestItemsStarve: the largest tenth has to be served at least half as often as all.
func TestLargestItemsStarve(t *testing.T) {
	for _, load := range []float64{1.2, 2, 3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			c := qt.New(t)
			o := newOverload()
			o.run(load, 1)
			largest := func(size, _ int64) bool { return size == 10 }
			of, ofLargest := sum(o.served, all)/sum(o.arrived, all), sum(o.served, largest)/sum(o.arrived, largest)
			t.Logf("served %.2f, of the largest tenth %.2f", of, ofLargest)
			c.Check(ofLargest >= of/2, qt.IsTrue)
		})
	}
}

// TestHigherRankIsServedLess: the kind that the users rank first has to be served, and be on time, at least as often as the others.
func TestHigherRankIsServedLess(t *testing.T) {
	for _, load := range []float64{1.2, 2, 3} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			c := qt.New(t)
			o := newOverload()
			o.run(load, 3)
			var served, inTarget [3]float64
			for r := range int64(3) {
				of := func(_, rank int64) bool { return rank == r }
				served[r], inTarget[r] = sum(o.served, of)/sum(o.arrived, of), sum(o.inTarget, of)/sum(o.arrived, of)
			}
			t.Logf("served %.2f, in target %.2f", served, inTarget)
			for r := 1; r < 3; r++ {
				c.Check(served[r-1] >= served[r]-0.02, qt.IsTrue, qt.Commentf("%.2f", served))
				c.Check(inTarget[r-1] >= inTarget[r]-0.02, qt.IsTrue, qt.Commentf("%.2f", inTarget))
			}
			c.Check(served[2] > 0, qt.IsTrue)
		})
	}
}
