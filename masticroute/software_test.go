package masticroute

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticview"
)

// TestRequestKeepsToItsSoftware checks that a request which may run on one software version only goes nowhere
// else: placed by this host, among many engines, or as a coordinator assigned it.
func TestRequestKeepsToItsSoftware(t *testing.T) {
	for _, shared := range []bool{false, true} {
		for _, engines := range []int{4, 90} {
			t.Run(fmt.Sprint(shared, " ", engines), func(t *testing.T) {
				c := qt.New(t)
				options := []Option{WithSeed(1)}
				if shared {
					options = append(options, WithSharedLoad())
				}
				r := New(options...)
				var v masticview.View
				for i := range engines {
					e := engineOf(i)
					e.Software = "v1"
					if i == engines-1 {
						e.Software = "v2"
					}
					v = v.WithServer(e)
				}
				r.SetView(v)
				last := engineOf(engines - 1).Name
				for i := range 20 {
					q := queryOf(fmt.Sprint("member ", i), "question")
					q.Software = masticcall.OnlySoftware("v2")
					d, ok := r.Decide(start, &q)
					c.Assert(ok, qt.IsTrue)
					c.Assert(r.Server(d.Slot).Name, qt.Equals, last)
					_, ok = r.Adopt(start, &q, masticcall.ShardAssignment{Server: engineOf(0).Name})
					c.Assert(ok, qt.IsFalse)
				}
				q := queryOf("member", "question")
				q.Software = masticcall.OnlySoftware("v3")
				c.Assert(r.Eligible(&q), qt.IsFalse)
				_, ok := r.Decide(start, &q)
				c.Assert(ok, qt.IsFalse)
			})
		}
	}
}
