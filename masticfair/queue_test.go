package masticfair

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

const maxTokens = 10000

// served holds the settings of a workspace that always has queued items, and the tokens
// that it was served.
type served struct {
	weight, tokens, headStart int64
}

// TestFairnessBound checks that the service per weight of two workspaces which always have
// queued items never differs by more than one request of each and the head start of the
// first.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int]()
		flows := map[string]*served{}
		for i := range rapid.IntRange(2, 5).Draw(t, "workspaces") {
			flows[fmt.Sprint(i)] = &served{
				weight:    rapid.Int64Range(1, 5).Draw(t, "weight"),
				headStart: rapid.SampledFrom([]int64{0, MaxHeadStartTokens / 2, 3 * MaxHeadStartTokens}).Draw(t, "head"),
			}
		}
		push := func(name string) {
			f := flows[name]
			q.Push(Item[int]{
				Workspace: name, Weight: f.weight, Tokens: rapid.Int64Range(1, maxTokens).Draw(t, "tokens"), HeadStartTokens: f.headStart,
				Deadline: start.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "due")) * time.Second),
			})
		}
		for i := range len(flows) {
			push(fmt.Sprint(i))
			push(fmt.Sprint(i))
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			taken := ""
			q.Scan(time.Time{}, 1, func(i Item[int]) bool {
				taken = i.Workspace
				flows[taken].tokens += i.Tokens
				return true
			})
			push(taken)
			checkBound(t, flows)
		}
	})
}

func checkBound(t *rapid.T, flows map[string]*served) {
	for a, x := range flows {
		for b, y := range flows {
			lead := float64(x.tokens)/float64(x.weight) - float64(y.tokens)/float64(y.weight)
			bound := float64(maxTokens+min(x.headStart, MaxHeadStartTokens))/float64(x.weight) + float64(maxTokens)/float64(y.weight)
			if lead > bound {
				t.Fatalf("workspace %s leads %s by %v, bound %v", a, b, lead, bound)
			}
		}
	}
}

func TestIdleWorkspaceGainsNoCredit(t *testing.T) {
	c := qt.New(t)
	q := New[int]()
	push := func(w string) { q.Push(Item[int]{Workspace: w, Weight: 1, Tokens: 1000}) }
	for range 20 {
		push("busy")
	}
	q.Scan(time.Time{}, 10, func(Item[int]) bool { return true })
	for range 10 {
		push("late")
	}
	got := map[string]int{}
	q.Scan(time.Time{}, 10, func(i Item[int]) bool {
		got[i.Workspace]++
		return true
	})
	c.Assert(got["busy"] >= 4, qt.IsTrue, qt.Commentf("%v", got))
}

func TestRejectedItemsKeepTheirPositions(t *testing.T) {
	c := qt.New(t)
	q := New[int]()
	for i := range 3 {
		q.Push(Item[int]{Workspace: "a", Weight: 1, Tokens: 1, Deadline: start.Add(time.Duration(i) * time.Second), Value: i})
	}
	var order []int
	scan := func(take bool) {
		q.Scan(time.Time{}, 10, func(i Item[int]) bool {
			order = append(order, i.Value)
			return take && i.Value == 1
		})
	}
	scan(false)
	scan(true)
	c.Assert(order, qt.DeepEquals, []int{0, 1, 2, 0, 1, 2})
	c.Assert(q.Len(), qt.Equals, 2)
}

func TestTokensAheadCountsOnlyItemsServedFirst(t *testing.T) {
	c := qt.New(t)
	q := New[int]()
	for range 10 {
		q.Push(Item[int]{Workspace: "loud", Weight: 1, Tokens: 1000})
	}
	c.Assert(q.TokensAhead("loud", 1, 0), qt.Equals, int64(10000))
	c.Assert(q.TokensAhead("calm", 1, 0), qt.Equals, int64(0))
}
