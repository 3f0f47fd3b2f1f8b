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

// TestShareBoundsAdmission checks that a host that cannot reach the control group admits, net of
// returned tokens, no more than its share's rate and the initial fraction of its burst.
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
			if bound := initialBurstFraction*burst + rate*now.Sub(start).Seconds(); admitted > bound+1e-6 {
				t.Fatalf("%v tokens in %v, the bound is %v", admitted, now.Sub(start), bound)
			}
		}
	})
}

// TestShareRefusalHasExactRetryAfter checks that RetryAfter is the time until the share has the
// tokens.
func TestShareRefusalHasExactRetryAfter(t *testing.T) {
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

// TestRetryAfterOfRequestThatNoShareHolds: a request that is larger than the burst of a host's share was told to come back when the share
// would hold it, which it never does.
func TestRetryAfterOfRequestThatNoShareHolds(t *testing.T) {
	c := qt.New(t)
	s := newShares(func(string) Share { return Share{RateTokensPerSecond: 1, BurstTokens: 500} }, &atomic.Int64{})
	_, err := s.admit(time.UnixMilli(1_000_000), "w", 501)
	c.Assert(masticerror.From(err).RetryAfter(), qt.Equals, ownerRetryAfter)
}

// TestStandingShareAdmitsSmallRequestsWithoutGrant checks that a small request is admitted from
// the standing share without the owner, and that a large one and one beyond the share request a
// grant. On large sites every small request caused a grant request, which overloaded the owner.
func TestStandingShareAdmitsSmallRequestsWithoutGrant(t *testing.T) {
	c := qt.New(t)
	limit := func(string) Share { return Share{RateTokensPerSecond: 0.001, BurstTokens: 2 * smallRequestTokens} }
	a, err := New(WithHost("h"), WithControlPeers(closedAddress), WithStandingShare(limit))
	c.Assert(err, qt.IsNil)
	ended, end := context.WithCancel(t.Context())
	end()
	_, err = a.limiter.Admit(ended, "w", smallRequestTokens, time.Time{})
	c.Assert(err, qt.IsNil)
	c.Assert(a.limiter.events.Len(), qt.Equals, 0)

	_, err = a.limiter.Admit(ended, "w", smallRequestTokens, time.Time{})
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindRateLimited)
	c.Assert(a.limiter.events.Len() > 0, qt.IsTrue)

	asked := a.limiter.events.Len()
	_, err = a.limiter.Admit(ended, "other", smallRequestTokens+1, time.Time{})
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindRateLimited)
	c.Assert(a.limiter.events.Len() > asked, qt.IsTrue)
}

// TestStandingSharesStayWithinSharedRateAndBurst checks that hosts that admit without the owner,
// each from its weighted share, together never exceed the shared rate and burst in any window.
func TestStandingSharesStayWithinSharedRateAndBurst(t *testing.T) {
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

// quotaHost is a control host that answers quota requests only while it is up.
type quotaHost struct{ up, asked atomic.Bool }

func (h *quotaHost) answer(ctx context.Context) (*masticproto.PeerAnswer, error) {
	h.asked.Store(true)
	if !h.up.Load() {
		return neverAnswers(ctx)
	}
	return &masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Quota{Quota: &masticproto.QuotaAnswer{}}}, nil
}

// TestLimiterResumesRequestsWhenOwnerAnswersAgain replays a power loss of all hosts on a site of
// 85 hosts: a host sent its grant request when there was no leader yet. From then on requests were
// admitted from shares and caused no further grant request. For 30 s, until the next restart,
// requests within their rates were refused.
func TestLimiterResumesRequestsWhenOwnerAnswersAgain(t *testing.T) {
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
	defer l.requests.Close()
	defer cancel()
	c.Assert(l.requests.Offer([]masticquota.GrantRequest{{ID: 1, Workspace: "w", NeedTokens: 5}}), qt.IsNil)
	for !q.asked.Load() {
		time.Sleep(time.Millisecond)
	}
	c.Assert(l.unansweredSince.Load(), qt.IsNotNil)
	q.up.Store(true)
	for l.unansweredSince.Load() != nil {
		time.Sleep(time.Millisecond)
	}
}
