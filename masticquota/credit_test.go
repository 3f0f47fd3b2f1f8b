package masticquota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// replayed is a charge of the history that the backlog is compared with.
type replayed struct {
	at      time.Time
	tokens  int64
	settled int64
}

// TestCreditIsNeverTooMuch compares the backlog after credits, given late and repeated, with
// that of a history in which the unused tokens were never charged.
func TestCreditIsNeverTooMuch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 1000
		b := &bucket{limit: Limit{RateTokensPerSecond: rate, BurstTokens: 1000}, at: begin, settled: make(map[uint64]int64)}
		o := &Owner{term: 1, lastID: 1000}
		var history []replayed
		now := begin
		for range 60 {
			now = now.Add(time.Duration(pick(t, "pass ms", 0, 1, 5, 30, 100)) * time.Millisecond)
			b.advance(now)
			if pick(t, "charge", true, false) || len(history) == 0 {
				tokens := pick(t, "tokens", int64(1), 10, 50, 200)
				history = append(history, replayed{at: now, tokens: tokens})
				b.charge(uint64(len(history)), tokens)
				continue
			}
			i := max(0, len(history)-pick(t, "settled", 1, 2, 3, 5, 9))
			h := &history[i]
			h.settled = min(h.tokens, h.settled+pick(t, "more", int64(0), 5, 200))
			r := GrantReport{GrantID: uint64(i + 1), Term: 1, SettledTokens: h.settled}
			if h.settled == h.tokens {
				r.SettledTokens += pick(t, "too much", int64(0), 1000)
			}
			o.report(b, r)
			least, at := int64(0), begin
			for _, h := range history {
				least, at = drained(rate, least, at, h.at)
				least += h.tokens - h.settled
			}
			least, _ = drained(rate, least, at, now)
			if b.backlog < least {
				t.Fatalf("the backlog is %d, that of the history %d", b.backlog, least)
			}
		}
	})
}
