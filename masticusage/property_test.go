package masticusage

import (
	"flag"
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var startTime = time.Unix(1_800_000_000, 0)

// pick draws one element of from with equal probability. rapid's generators favour the
// first elements.
func pick[T any](t *rapid.T, label string, from ...T) T {
	n := 0
	for range 5 {
		n *= 2
		if rapid.Bool().Draw(t, label) {
			n++
		}
	}
	return from[n%len(from)]
}

func drawUsage(t *rapid.T) masticcall.UsageRecord {
	u := masticcall.UsageRecord{
		Workspace: pick(t, "workspace", "mill", "yard"), Profile: pick(t, "profile", "p", "q"), Model: pick(t, "model", "m", "n"),
		ServerOwner: pick(t, "owner", "association", "glenmorven"), InputTokens: pick(t, "input", int64(1), 100), OutputTokens: 7,
		CachedTokens: 3, RecomputedTokens: 2, Order: pick(t, "order", true, false),
	}
	if pick(t, "refused", true, false, false) {
		u.Refusal = "rateLimited"
	}
	return u
}

// TestTotalsMatchUsageDespiteLossAndReordering guards against usage that is lost or counted
// twice: the reports of two hosts, which restart, are lost, repeated and reordered. After
// the last report of each incarnation has arrived, the totals equal what was counted, and
// charged and served usage agree.
func TestTotalsMatchUsageDespiteLossAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		totals := NewTotals()
		want := make(map[Row]Counts)
		now := startTime
		nextIncarnation := 2
		counters := []*Counter{NewCounter("h0", "0"), NewCounter("h1", "1")}
		var delayed, last []*masticproto.UsageReport
		for range 120 {
			now = now.Add(pick(t, "pass", time.Second, time.Second, time.Hour))
			i := pick(t, "host", 0, 1)
			switch pick(t, "action", "add", "add", "add", "report", "report", "restart", "deliver", "restore") {
			case "add":
				u := drawUsage(t)
				counters[i].Add(u)
				r := Row{u.Workspace, u.Profile, u.Model, u.ServerOwner}
				want[r] = want[r].add(countsOf(u))
			case "report":
				if r := counters[i].Report(); r != nil && pick(t, "lost", true, false, false) {
					delayed = append(delayed, r)
				} else if r != nil {
					totals.Merge(now, r)
					delayed = append(delayed, r)
					counters[i].Acknowledge(r.GetSequence())
				}
			case "restart":
				if r := counters[i].Report(); r != nil {
					last = append(last, r)
				}
				counters[i] = NewCounter(fmt.Sprint("h", i), fmt.Sprint(nextIncarnation))
				nextIncarnation++
			case "deliver":
				if len(delayed) > 0 {
					totals.Merge(now, delayed[pick(t, "which", 0, 1, 2, 3, 5, 8)%len(delayed)])
				}
			default:
				totals = Restore(proto.Clone(totals.Snapshot()).(*masticproto.UsageSnapshot))
			}
		}
		for _, c := range counters {
			if r := c.Report(); r != nil {
				last = append(last, r)
			}
		}
		for _, r := range last {
			totals.Merge(now, r)
		}
		requireTotals(t, totals, want)
		totals.Close(now.Add(2 * CloseAfter))
		for _, r := range append(delayed, last...) {
			totals.Merge(now.Add(2*CloseAfter), r)
		}
		requireTotals(t, totals, want)
	})
}

func requireTotals(t *rapid.T, totals *Totals, want map[Row]Counts) {
	got := totals.Rows()
	same := func(a, b Counts) bool {
		x, y := a.Refusals, b.Refusals
		a.Refusals, b.Refusals = nil, nil
		return fmt.Sprint(a) == fmt.Sprint(b) && maps.Equal(x, y)
	}
	if !maps.EqualFunc(got, want, same) {
		t.Fatalf("the totals are %v, not %v", got, want)
	}
	if d := totals.Check(); len(d) > 0 {
		t.Fatalf("charged and served differ: %v", d)
	}
}

func TestSharesAndCheck(t *testing.T) {
	c := qt.New(t)
	counter := NewCounter("h", "1")
	counter.Add(masticcall.UsageRecord{Workspace: "mill", Model: "m", ServerOwner: "glenmorven", InputTokens: 10, OutputTokens: 5})
	counter.Add(masticcall.UsageRecord{Workspace: "mill", Model: "m", Refusal: "rateLimited"})
	r := counter.Report()
	totals := NewTotals()
	totals.Merge(startTime, r)
	owner := func(string) string { return "association" }
	c.Assert(totals.Shares(owner), qt.DeepEquals, []Share{
		{WorkspaceOwner: "association"},
		{WorkspaceOwner: "association", ServerOwner: "glenmorven", Requests: 1, InputTokens: 10, OutputTokens: 5},
	})
	c.Assert(totals.Check(), qt.HasLen, 0)
	c.Assert(totals.Sums(), qt.HasLen, 2)
	r.Served[0].OutputTokens = 6
	totals.Merge(startTime, r)
	c.Assert(totals.Check(), qt.DeepEquals, []Difference{{
		Row: ServedRow{"glenmorven", "m"}, Charged: Served{1, 10, 5}, Served: Served{1, 10, 6},
	}})
}
