package masticagent

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticquota"
)

// TestShareBoundsAdmission: whatever is asked and given back, a host out of control's reach
// admits no more over any time than its share's rate and the part of its burst that it
// starts with.
func TestShareBoundsAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 1000.0, 500.0
		s := newShares(func(string) Share { return Share{RateTokensPerSecond: rate, BurstTokens: burst} }, &atomic.Int64{})
		start := time.UnixMilli(1_000_000)
		now, admitted := start, 0.0
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pass")) * time.Millisecond)
			tokens := rapid.Int64Range(1, 600).Draw(t, "tokens")
			a, err := s.admit(now, "w", tokens)
			if err != nil {
				continue
			}
			admitted += float64(tokens)
			if rapid.Bool().Draw(t, "unused") {
				a.Settle(0)
				admitted -= float64(tokens)
			}
			if bound := startPart*burst + rate*now.Sub(start).Seconds(); admitted > bound+1e-6 {
				t.Fatalf("%v tokens in %v, the bound is %v", admitted, now.Sub(start), bound)
			}
		}
	})
}

// TestShareRefusalSaysWhen: the time to come back is when the share has the tokens.
func TestShareRefusalSaysWhen(t *testing.T) {
	c := qt.New(t)
	s := newShares(func(string) Share { return Share{RateTokensPerSecond: 1000, BurstTokens: 500} }, &atomic.Int64{})
	now := time.UnixMilli(1_000_000)
	_, err := s.admit(now, "w", 250)
	c.Assert(err, qt.IsNil)
	_, err = s.admit(now, "w", 250)
	e := masticerror.From(err)
	c.Assert(e.Kind(), qt.Equals, masticerror.KindRateLimited)
	c.Assert(e.RetryAfter(), qt.Equals, 250*time.Millisecond)
	_, err = s.admit(now.Add(e.RetryAfter()), "w", 250)
	c.Assert(err, qt.IsNil)
	_, err = newShares(func(string) Share { return Share{} }, &atomic.Int64{}).admit(now, "w", 1)
	c.Assert(err, qt.IsNotNil)
}

// TestSmallRequestsNeedNoGrant: a small request is admitted from the standing share without
// a word to the owner, a large one and one beyond the share ask it. On the grown sites each
// small request was a demand, and the owner had no time for the others.
func TestSmallRequestsNeedNoGrant(t *testing.T) {
	c := qt.New(t)
	limit := func(string) Share { return Share{RateTokensPerSecond: 0.001, BurstTokens: 2 * smallTokens} }
	a, err := New(WithHost("h"), WithControlPeers(unused), WithStandingShare(limit))
	c.Assert(err, qt.IsNil)
	ended, end := context.WithCancel(t.Context())
	end()
	_, err = a.limiter.Admit(ended, "w", smallTokens)
	c.Assert(err, qt.IsNil)
	c.Assert(a.limiter.events.Len(), qt.Equals, 0)

	_, err = a.limiter.Admit(ended, "w", smallTokens)
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindRateLimited)
	c.Assert(a.limiter.events.Len() > 0, qt.IsTrue)

	asked := a.limiter.events.Len()
	_, err = a.limiter.Admit(ended, "other", smallTokens+1)
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindRateLimited)
	c.Assert(a.limiter.events.Len() > asked, qt.IsTrue)
}

// TestStandingSharesStayWithinOverage: hosts that admit without the owner, each from its part
// by weight, admit together in no window more than the rate and burst that they share.
func TestStandingSharesStayWithinOverage(t *testing.T) {
	type admitted struct {
		at     time.Time
		tokens float64
	}
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 1000.0, 2000.0
		weights := rapid.SliceOfN(rapid.IntRange(1, 50), 1, 8).Draw(t, "weights")
		sum := 0
		for _, w := range weights {
			sum += w
		}
		var hosts []*shares
		for _, w := range weights {
			part := float64(w) / float64(sum)
			hosts = append(hosts, newShares(func(string) Share {
				return Share{RateTokensPerSecond: part * rate, BurstTokens: part * burst}
			}, &atomic.Int64{}))
		}
		now := time.UnixMilli(1_000_000)
		var history []admitted
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond)
			tokens := rapid.Int64Range(1, 700).Draw(t, "tokens")
			host := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			if _, err := host.admit(now, "w", tokens); err != nil {
				continue
			}
			history = append(history, admitted{now, float64(tokens)})
			window := 0.0
			for i := len(history) - 1; i >= 0; i-- {
				window += history[i].tokens
				if bound := burst + rate*now.Sub(history[i].at).Seconds(); window > bound+1e-6 {
					t.Fatalf("%v tokens in %v, the bound is %v", window, now.Sub(history[i].at), bound)
				}
			}
		}
	})
}

// quotaHost is a control host that answers demands only while it is up.
type quotaHost struct{ up, asked atomic.Bool }

func (h *quotaHost) answer(ctx context.Context) (*masticproto.PeerAnswer, error) {
	h.asked.Store(true)
	if !h.up.Load() {
		return silent(ctx)
	}
	return &masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Quota{Quota: &masticproto.QuotaAnswer{}}}, nil
}

// TestSilentOwnerIsHeardAgain replays a power loss of all hosts on a site of 85: a host's
// demand went to a leader that was not there yet, and as requests were admitted from shares
// from then on, no demand was raised again. For 30 s, until the next restart, requests within
// their rates were refused.
func TestSilentOwnerIsHeardAgain(t *testing.T) {
	c := qt.New(t)
	q := &quotaHost{}
	host := newFakeHost(t, q.answer)
	a, err := New(WithHost("h"), WithControlPeers(host.server.Address()))
	c.Assert(err, qt.IsNil)
	a.renewTimeout = 20 * time.Millisecond
	l := a.limiter
	ctx, cancel := context.WithCancel(t.Context())
	a.running.Add(1)
	go l.run(ctx)
	defer a.running.Wait()
	defer l.demands.Close()
	defer cancel()
	c.Assert(l.demands.Offer([]masticquota.GrantRequest{{ID: 1, Workspace: "w", NeedTokens: 5}}), qt.IsNil)
	for !q.asked.Load() {
		time.Sleep(time.Millisecond)
	}
	c.Assert(l.askedAt.Load(), qt.IsNotNil)
	q.up.Store(true)
	for l.askedAt.Load() != nil {
		time.Sleep(time.Millisecond)
	}
}
