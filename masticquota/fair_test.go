package masticquota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// repeatingHost is a host that requests the same need again after each RetryAfter.
type repeatingHost struct {
	host    string
	need    int64
	want    int64
	nextAt  time.Time
	granted int64
}

func (a *repeatingHost) request(o *Owner, now time.Time, id uint64) {
	if now.Before(a.nextAt) {
		return
	}
	g := o.Grant(now, GrantRequest{ID: id, Host: a.host, Workspace: workspaceName, NeedTokens: a.need, WantTokens: a.want, MaxWait: time.Minute})
	a.granted += g.Tokens
	a.nextAt = now.Add(g.RetryAfter)
	if g.Tokens > 0 {
		o.ApplyReports(now, workspaceName, []GrantReport{{GrantID: g.GrantID, Term: 1}})
	}
}

// TestHostsShareFairly has hosts request far more than the rate. Needs are granted in order, so
// that a need of the whole burst is not starved by small needs, and small needs are starved
// neither by it nor by a host that wants more than it needs.
func TestHostsShareFairly(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(Limit{RateTokensPerSecond: 1000, BurstTokens: 2000})
	hosts := []*repeatingHost{{host: "a", need: 50, want: 2000}, {host: "b", need: 50}, {host: "c", need: 2000}}
	for ms := range 60_000 {
		now := begin.Add(time.Hour + time.Duration(ms)*time.Millisecond)
		for _, a := range hosts {
			a.request(o, now, uint64(ms+1))
		}
		o.commitAll(now)
	}
	small := hosts[0].granted + hosts[1].granted
	c.Assert(hosts[1].granted*4 > small, qt.IsTrue, qt.Commentf("%d of %d", hosts[1].granted, small))
	c.Assert(hosts[2].granted >= 20_000, qt.IsTrue, qt.Commentf("%d", hosts[2].granted))
	c.Assert(small+hosts[2].granted > 58_000, qt.IsTrue, qt.Commentf("%d", small+hosts[2].granted))
}

// TestFreeTokensBeyondNeedsAreShared checks that tokens free beyond the needs of waiting hosts
// are shared among the hosts.
func TestFreeTokensBeyondNeedsAreShared(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(Limit{RateTokensPerSecond: 1, BurstTokens: 2000})
	now := begin.Add(time.Hour)
	request := func(id uint64, host string, need, want int64) GrantAnswer {
		return o.Grant(now, GrantRequest{ID: id, Host: host, Workspace: workspaceName, NeedTokens: need, WantTokens: want, MaxWait: time.Hour})
	}
	first := request(1, "a", 1800, 0)
	c.Assert(first.Tokens, qt.Equals, int64(1800))
	c.Assert(request(2, "b", 500, 0).Tokens, qt.Equals, int64(0))
	o.ApplyReports(now, workspaceName, []GrantReport{{GrantID: first.GrantID, Term: 1, ReturnedTokens: 1800}})
	c.Assert(request(3, "a", 0, 2000).Tokens, qt.Equals, int64(750))
	c.Assert(request(4, "b", 500, 0).Tokens, qt.Equals, int64(500))
}
