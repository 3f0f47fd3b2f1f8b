package masticquota

import (
	"cmp"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// spender asks owners for whatever they give and spends each grant at its worst moment.
type spender struct {
	*fleet
	id      uint64
	reports []GrantReport
}

func (s *spender) ask() {
	s.id++
	want := max(1, s.limit.BurstTokens/pick(s.t, "want part", int64(1), 2, 3, 10))
	need := want * pick(s.t, "need", int64(0), 1)
	r := GrantRequest{ID: s.id, Host: pick(s.t, "host", "a", "b"), Workspace: mill, NeedTokens: need, WantTokens: want}
	if pick(s.t, "report", true, false) {
		r.Reports, s.reports = s.reports, nil
	}
	a := s.owner.Grant(s.now, r)
	if a.Tokens == 0 {
		return
	}
	at := s.now
	late := pick(s.t, "late", true, false)
	if late {
		at = at.Add(lifetime(a.Span) - 1)
	}
	returned := a.Tokens / pick(s.t, "returned", a.Tokens+1, 1, 2)
	if late {
		returned = 0
	}
	s.admissions = append(s.admissions, admission{at: at, tokens: a.Tokens - returned})
	if !late {
		s.reports = append(s.reports, GrantReport{GrantID: a.GrantID, Term: a.Term, ReturnedTokens: returned})
	}
}

func TestGrantsSpentAtWorst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &spender{fleet: newFleet(t)}
		for range 100 {
			s.now = s.now.Add(time.Duration(pick(t, "pass ms", 0, 0, 1, 5, 20, 100, 500, 2000)) * time.Millisecond)
			if pick(t, "takeover", true, false, false, false, false, false, false, false) {
				s.takeover()
			}
			s.checkpoint()
			s.ask()
		}
		slices.SortStableFunc(s.admissions, func(a, b admission) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		s.check()
	})
}

func newTestOwner(l Limit, options ...OwnerOption) *Owner {
	return NewOwner(begin, 1, func(string) (Limit, bool) { return l, true }, options...)
}

func TestWholeBurstIsGrantable(t *testing.T) {
	c := qt.New(t)
	for _, l := range []Limit{{1, 1}, {1000, 500}, {1000, 100_000}, {50_000, 10}} {
		o := newTestOwner(l, WithCheckpoint(map[string]int64{mill: 0}))
		o.Grant(begin, GrantRequest{ID: 1, Host: "a", Workspace: mill, NeedTokens: l.BurstTokens, Patience: time.Second})
		o.commitAll(begin)
		a := o.Grant(begin, GrantRequest{ID: 2, Host: "a", Workspace: mill, NeedTokens: l.BurstTokens, Patience: time.Second})
		c.Assert(a.Tokens, qt.Equals, l.BurstTokens)
		over := o.Grant(begin, GrantRequest{ID: 3, Host: "a", Workspace: mill, NeedTokens: l.BurstTokens + 1})
		c.Assert(over.Never, qt.IsTrue)
	}
}

// commitAll commits the next checkpoint.
func (o *Owner) commitAll(now time.Time) {
	if c := o.Checkpoint(now); c != nil {
		o.Committed(c.GetTerm(), c.GetSequence())
	}
}

// TestRateIsKept sees that steady demand gets the whole rate, also with a small burst.
func TestRateIsKept(t *testing.T) {
	c := qt.New(t)
	for _, l := range []Limit{{1000, 200}, {1000, 2000}, {1000, 100_000}} {
		o := newTestOwner(l)
		var sum int64
		for ms := 0; ms < 60_000; ms += 5 {
			now := begin.Add(time.Duration(ms) * time.Millisecond)
			o.commitAll(now)
			a := o.Grant(now, GrantRequest{ID: uint64(ms + 1), Host: "a", Workspace: mill, WantTokens: 10})
			sum += a.Tokens
		}
		c.Assert(sum > 55_000, qt.IsTrue, qt.Commentf("%+v: %d of 60000 tokens", l, sum))
	}
}

// TestRetryAfterIsHonest sees that a need is granted at the time to come back and not before.
func TestRetryAfterIsHonest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		l := f.limit
		ask := func(id uint64, need int64) GrantAnswer {
			return f.owner.Grant(f.now, GrantRequest{ID: id, Host: "a", Workspace: mill, NeedTokens: need, Patience: time.Hour})
		}
		f.now = f.now.Add(time.Hour)
		for i := range uint64(4) {
			ask(i+1, max(1, l.BurstTokens/pick(t, "part", int64(1), 2, 3)))
			f.now = f.now.Add(time.Duration(pick(t, "ms", 0, 3, 90, 900)) * time.Millisecond)
		}
		need := max(1, l.BurstTokens/pick(t, "part", int64(1), 2, 3))
		a := ask(10, need)
		if a.Tokens > 0 {
			return
		}
		slack := time.Millisecond + timeFor(l.RateTokensPerSecond, 1)
		rest := a.RetryAfter
		if a.RetryAfter > slack {
			f.now = f.now.Add(a.RetryAfter - slack)
			rest = slack
			if ask(11, need).Tokens > 0 {
				t.Fatalf("granted before the time to come back %v", a.RetryAfter)
			}
		}
		f.now = f.now.Add(rest)
		if got := ask(12, need).Tokens; got == 0 {
			t.Fatalf("not granted after %v (%+v)", a.RetryAfter, l)
		}
	})
}

// TestSlowClock sees that a holder whose clock is slow spends nothing after the owner has regained it.
func TestSlowClock(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(Limit{RateTokensPerSecond: 10, BurstTokens: 100})
	late := begin.Add(time.Hour)
	a := o.Grant(late, GrantRequest{ID: 1, Host: "a", Workspace: mill, WantTokens: 100})
	c.Assert(a.Tokens, qt.Equals, int64(100))
	slow := a.Span + a.Span/(driftDivisor+1)
	b, _ := o.bucket(late.Add(slow), mill)
	c.Assert(b.held, qt.Equals, int64(100))
}
