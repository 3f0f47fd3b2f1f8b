package masticbucket

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticladder/masticcall"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// use is a number of tokens that may be used from a time on.
type use struct {
	at     time.Time
	tokens float64
}

// assertWithin checks that no window has more tokens than a burst and a rate allow.
func assertWithin(t *rapid.T, uses []use, l Limit) {
	for i := range uses {
		sum := 0.0
		for j := range uses {
			if uses[j].at.Before(uses[i].at) {
				continue
			}
			window := uses[j].at.Sub(uses[i].at)
			sum = 0
			for k := range uses {
				if !uses[k].at.Before(uses[i].at) && !uses[k].at.After(uses[j].at) {
					sum += uses[k].tokens
				}
			}
			if bound := l.BurstTokens + l.RateTokensPerSecond*window.Seconds(); sum > bound+1 {
				t.Fatalf("%v tokens in %v, the bound is %v", sum, window, bound)
			}
		}
	}
}

// TestBucketAdmitsNoMoreThanRateAndBurst checks every window of random charges with waits and refunds.
func TestBucketAdmitsNoMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{RateTokensPerSecond: 1000, BurstTokens: 2000}
		now := time.UnixMilli(1_000_000)
		b := &bucket{level: l.BurstTokens, at: now}
		var uses []use
		for range 40 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pass")) * time.Millisecond)
			tokens := float64(rapid.IntRange(1, 2500).Draw(t, "tokens"))
			wait := time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond
			delay, taken := b.charge(now, l, tokens, wait)
			if !taken {
				continue
			}
			if delay > wait {
				t.Fatalf("delay %v over %v", delay, wait)
			}
			if rapid.IntRange(0, 4).Draw(t, "refund") == 0 {
				b.level += tokens
				continue
			}
			uses = append(uses, use{now.Add(delay), tokens})
		}
		assertWithin(t, uses, l)
	})
}

// TestRefusalStatesWhenTokensAreThere checks that a charge succeeds once the time that a refusal stated has passed, and
// not before.
func TestRefusalStatesWhenTokensAreThere(t *testing.T) {
	c := qt.New(t)
	l := Limit{RateTokensPerSecond: 1000, BurstTokens: 500}
	now := time.UnixMilli(1_000_000)
	b := &bucket{level: 100, at: now}
	delay, taken := b.charge(now, l, 400, 0)
	c.Assert(taken, qt.IsFalse)
	c.Assert(delay >= 300*time.Millisecond && delay < 301*time.Millisecond, qt.IsTrue)
	_, taken = b.charge(now.Add(delay-time.Millisecond), l, 400, 0)
	c.Assert(taken, qt.IsFalse)
	_, taken = b.charge(now.Add(delay), l, 400, 0)
	c.Assert(taken, qt.IsTrue)
	delay, taken = b.charge(now.Add(time.Hour), l, 501, time.Hour)
	c.Assert(taken, qt.IsFalse)
	c.Assert(delay, qt.Equals, maxDelay)
}

func limitOf(l Limit) func(string) Limit { return func(string) Limit { return l } }

// TestHostThatBecomesKeeperGivesOutItsBurst: a host that takes a bucket over from a keeper which still gives out tokens
// must not begin with a full one. After a start of its process it begins with a part of the burst.
func TestHostThatBecomesKeeperGivesOutItsBurst(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	only := func(name string) *Division { return &Division{keepers: []Host{{name, name}}} }
	k := NewKeeper("a", limitOf(Limit{RateTokensPerSecond: 100, BurstTokens: 1000}))
	charge := func(now time.Time, tokens int64) bool {
		return k.Charge(now, masticcall.Charge{Workspace: "w", Tokens: tokens}).Admitted
	}
	c.Assert(charge(now, 1), qt.IsFalse)
	k.SetDivision(now, only("a"))
	// 25 of the 1000 are set aside for credits.
	c.Assert(charge(now, 488), qt.IsFalse)
	c.Assert(charge(now, 487), qt.IsTrue)
	now = now.Add(time.Minute)
	k.SetDivision(now, only("b"))
	c.Assert(charge(now, 1), qt.IsFalse)
	now = now.Add(time.Minute)
	k.SetDivision(now, only("a"))
	c.Assert(charge(now, 1), qt.IsFalse)
	c.Assert(charge(now.Add(time.Second), 100), qt.IsTrue)
	c.Assert(charge(now.Add(time.Second), 1), qt.IsFalse)
}

func chargeOf(tokens, extra int64) masticcall.Charge {
	return masticcall.Charge{Workspace: "w", Tokens: tokens, Extra: extra}
}
