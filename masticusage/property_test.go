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

var begin = time.Unix(1_800_000_000, 0)

// pick draws one of from, each as likely as the others; rapid favours the first ones.
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

func record(t *rapid.T) masticcall.UsageRecord {
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

// TestTotalsAreRight sends the reports of two hosts, which restart, with losses, repetitions
// and in any order; once the last report of each incarnation has arrived, the totals are
// what was counted and both sides agree.
func TestTotalsAreRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		totals := NewTotals()
		want := make(map[Row]Counts)
		now := begin
		born := 2
		counters := []*Counter{NewCounter("h0", "0"), NewCounter("h1", "1")}
		var late, last []*masticproto.UsageReport
		for range 120 {
			now = now.Add(pick(t, "pass", time.Second, time.Second, time.Hour))
			i := pick(t, "host", 0, 1)
			switch pick(t, "action", "add", "add", "add", "report", "report", "restart", "deliver", "restore") {
			case "add":
				u := record(t)
				counters[i].Add(u)
				r := Row{u.Workspace, u.Profile, u.Model, u.ServerOwner}
				want[r] = want[r].plus(countsOf(u))
			case "report":
				if r := counters[i].Report(); r != nil && pick(t, "lost", true, false, false) {
					late = append(late, r)
				} else if r != nil {
					totals.Merge(now, r)
					late = append(late, r)
					counters[i].Acknowledged(r.GetSequence())
				}
			case "restart":
				if r := counters[i].Report(); r != nil {
					last = append(last, r)
				}
				counters[i] = NewCounter(fmt.Sprint("h", i), fmt.Sprint(born))
				born++
			case "deliver":
				if len(late) > 0 {
					totals.Merge(now, late[pick(t, "which", 0, 1, 2, 3, 5, 8)%len(late)])
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
		compare(t, totals, want)
		totals.Close(now.Add(2 * CloseAfter))
		for _, r := range append(late, last...) {
			totals.Merge(now.Add(2*CloseAfter), r)
		}
		compare(t, totals, want)
	})
}

func compare(t *rapid.T, totals *Totals, want map[Row]Counts) {
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
	totals.Merge(begin, r)
	owner := func(string) string { return "association" }
	c.Assert(totals.Shares(owner), qt.DeepEquals, []Share{
		{WorkspaceOwner: "association"},
		{WorkspaceOwner: "association", ServerOwner: "glenmorven", Requests: 1, InputTokens: 10, OutputTokens: 5},
	})
	c.Assert(totals.Check(), qt.HasLen, 0)
	c.Assert(totals.Sums(), qt.HasLen, 2)
	r.Served[0].OutputTokens = 6
	totals.Merge(begin, r)
	c.Assert(totals.Check(), qt.DeepEquals, []Difference{{
		Row: ServedRow{"glenmorven", "m"}, Charged: Served{1, 10, 5}, Served: Served{1, 10, 6},
	}})
}
