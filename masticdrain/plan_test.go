package masticdrain

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
)

// endedAfter returns how long after now the context ends because of its plan, or limit if it does not before then.
func endedAfter(ctx context.Context, now time.Time, limit time.Duration) time.Duration {
	select {
	case <-ctx.Done():
		if Error(ctx) == nil {
			return -1
		}
		return time.Since(now)
	case <-time.After(limit):
		return limit
	}
}

// TestWaitingRequestsOutlastTheDecisionToRefuseThem: a request that waited was refused only once it had a server, or cut.
func TestWaitingRequestsOutlastTheDecisionToRefuseThem(t *testing.T) {
	const never = time.Minute
	for _, x := range []struct {
		name     string
		deadline time.Duration
		repeat   Repeat
		sent     bool
		// late reports that the scope begins after the host has begun to refuse.
		late  bool
		ended time.Duration
	}{
		{"an order that fits", 7 * time.Second, Once, false, false, 7 * time.Second},
		{"an order that does not fit", 8 * time.Second, Once, false, false, time.Second},
		{"one that fits", 7 * time.Second, Repeatable, false, false, 7 * time.Second},
		{"one that does not fit", 8 * time.Second, Repeatable, false, false, 3 * time.Second},
		{"one that does not fit and comes late", 8 * time.Second, Repeatable, false, true, 0},
		{"one that may have run", 8 * time.Second, Repeatable, true, false, 7 * time.Second},
		{"an order that may have run", 8 * time.Second, Once, true, false, 7 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p, now := &Plan{}, time.Now()
				// The host leaves after 1 s, refuses after 3 s and ends after 7 s.
				time.AfterFunc(time.Second, func() { p.Leave(now.Add(7 * time.Second)) })
				time.AfterFunc(3*time.Second, p.RefuseBeyondEnd)
				begin := func() (context.Context, *Scope) {
					if x.sent {
						return p.Sent(context.Background())
					}
					return p.Waiting(context.Background(), now.Add(x.deadline), x.repeat)
				}
				ctx, scope := begin()
				if x.late {
					time.Sleep(4 * time.Second)
					ctx, scope = begin()
					now = time.Now()
				}
				c.Assert(endedAfter(ctx, now, never), qt.Equals, x.ended)
				c.Assert(Error(ctx).Kind(), qt.Equals, masticerror.KindDraining)
				c.Assert(Error(ctx).NotRun(), qt.IsTrue)
				scope.End()
			})
		})
	}
}

func TestKeptScopeOutlastsThePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, now := &Plan{}, time.Now()
		kept, scope := p.Sent(context.Background())
		p.Leave(now.Add(time.Second))
		scope.Keep()
		c.Assert(endedAfter(kept, now, time.Minute), qt.Equals, time.Minute)
		scope.End()
		scope.End()
		c.Assert(kept.Err(), qt.Equals, context.Canceled)
		c.Assert(Error(kept) == nil, qt.IsTrue)
		// The host has ended by now.
		late, scope := p.Sent(context.Background())
		c.Assert(Error(late) == nil, qt.IsFalse)
		scope.End()
	})
}

func TestNothingEndsWithoutAPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, now := &Plan{}, time.Now()
		waiting, scope := p.Waiting(context.Background(), now.Add(time.Second), Once)
		p.RefuseBeyondEnd()
		c.Assert(p.Refuses(now.Add(time.Hour), Once), qt.IsFalse)
		c.Assert(endedAfter(waiting, now, time.Minute), qt.Equals, time.Minute)
		scope.End()
	})
}

// TestLaterEndExtendsThePlan: the end that is set when a host stops must not move that of its drain, nor lose to it.
func TestLaterEndExtendsThePlan(t *testing.T) {
	for _, x := range []struct{ second, ended time.Duration }{{9 * time.Second, 7 * time.Second}, {2 * time.Second, 2 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			p, now := &Plan{}, time.Now()
			ctx, scope := p.Sent(context.Background())
			p.Leave(now.Add(7 * time.Second))
			p.EndBy(now.Add(x.second))
			c.Assert(endedAfter(ctx, now, time.Minute), qt.Equals, x.ended)
			c.Assert(p.Refuses(now.Add(x.ended), Once), qt.IsFalse)
			scope.End()
		})
	}
}
