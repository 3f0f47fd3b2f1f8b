package masticbucket

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestCreditsAreUsedOnceAndInTime checks that all tokens of credits are used, returned after their expiry or still there, each once,
// and that none is used after its expiry or handed to a request that can't wait for it.
func TestCreditsAreUsedOnceAndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		p := &creditAccount{}
		added, gone := int64(0), int64(0)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				usableAt := now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "delay")) * time.Millisecond)
				c := credit{tokens: int64(rapid.IntRange(1, 500).Draw(t, "added")), usableAt: usableAt, expiresAt: usableAt.Add(200 * time.Millisecond)}
				p.add(c)
				added += c.tokens
			case 1:
				before := now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "wait")) * time.Millisecond)
				tokens := int64(rapid.IntRange(1, 800).Draw(t, "tokens"))
				taken, ok := p.take(now, before, tokens)
				sum := int64(0)
				for _, c := range taken {
					sum += c.tokens
					if c.usableAt.After(before) || !now.Before(c.expiresAt) {
						t.Fatalf("a credit from %v to %v was used at %v, before %v", c.usableAt, c.expiresAt, now, before)
					}
				}
				if ok && sum != tokens || !ok && sum != 0 {
					t.Fatalf("%d of %d tokens", sum, tokens)
				}
				gone += sum
			default:
				for _, c := range p.expire(now) {
					gone += c.tokens
				}
			}
		}
		for _, c := range p.credits {
			gone += c.tokens
		}
		if gone != added {
			t.Fatalf("%d tokens were added, %d are accounted for", added, gone)
		}
	})
}

// TestTokensChargedAheadLeaveHalfOfTheBurst checks that a keeper gives no tokens ahead that requests of other hosts may need.
func TestTokensChargedAheadLeaveHalfOfTheBurst(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	k := NewKeeper("a", limitOf(Limit{RateTokensPerSecond: 1000, BurstTokens: 8000}))
	k.SetDivision(now, &Division{keepers: []Host{{"a", "a"}}})
	l, lifetime := k.quota("w")
	c.Assert(l.BurstTokens, qt.Equals, 7750.0)
	c.Assert(lifetime, qt.Equals, maxCreditLifetime)
	k.buckets["w"] = &bucket{level: l.BurstTokens, at: now}
	got := int64(0)
	for range 20 {
		got += k.Charge(now, chargeOf(1, 500)).Extra
	}
	c.Assert(got, qt.Equals, int64(3500))
	c.Assert(k.buckets["w"].level, qt.Equals, 7750.0-3500-20)
}

// TestTokensOfStalledHostExpire guards against a host without processor time that uses tokens long after their keeper took them: the
// bucket has filled again meanwhile, and the workspace gets more than its burst.
func TestTokensOfStalledHostExpire(t *testing.T) {
	c := qt.New(t)
	sentAt := time.UnixMilli(1_000_000)
	const lifetime, delay = 200 * time.Millisecond, 30 * time.Millisecond
	for handled, want := range map[time.Duration]time.Duration{
		5 * time.Millisecond: 235 * time.Millisecond,
		chargeTimeout:        chargeTimeout + lifetime + delay,
		3 * time.Second:      chargeTimeout + lifetime + delay,
	} {
		x := newCredit(Host{}, 1, sentAt, sentAt.Add(handled), lifetime, delay)
		c.Check(x.expiresAt.Sub(sentAt), qt.Equals, want)
		c.Check(x.usableAt.Sub(sentAt), qt.Equals, handled+delay)
	}
}
