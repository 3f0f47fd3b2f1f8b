package masticrelay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticdocument"
)

// TestSplitFollowsWeightsAndRequest checks that the pool of a split route depends on the identifier, in
// proportion to the weights, and that a change of the weights moves no more than it has to.
func TestSplitFollowsWeightsAndRequest(t *testing.T) {
	c := qt.New(t)
	const requests = 20_000
	before := []masticdocument.Target{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "c", Weight: 0}}
	after := []masticdocument.Target{{Pool: "a", Weight: 80}, {Pool: "b", Weight: 20}}
	counts, moved := map[string]int{}, 0
	for i := range requests {
		id := fmt.Sprint("request ", i)
		pool := pickPool(before, id)
		counts[pool]++
		c.Assert(pickPool(before, id), qt.Equals, pool)
		if pickPool(after, id) != pool {
			moved++
		}
	}
	c.Assert(counts["c"], qt.Equals, 0)
	c.Assert(counts["b"] > requests*9/100 && counts["b"] < requests*11/100, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(moved > requests*8/100 && moved < requests*14/100, qt.IsTrue, qt.Commentf("%d moved", moved))
}

func TestTakeUpIsOfThePoolOfItsStream(t *testing.T) {
	c := qt.New(t)
	c.Assert((&Call{ID: "second", Resumes: "first"}).streamID(), qt.Equals, (&Call{ID: "first"}).streamID())
	c.Assert((&Call{}).streamID(), qt.Not(qt.Equals), (&Call{}).streamID())
}
