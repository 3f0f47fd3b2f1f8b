package masticquota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestManyHostsUseTheWholeRate replays a workspace of a fleet of 57 hosts after its rate was
// cut: reviews of 17,000 tokens at 1.3 times the rate, each at a host that sees the workspace
// once in six seconds. The owner and its hosts admit what one bucket would: that the refusals
// of such a day came from grants that were spent and still counted as held was ruled out by it.
func TestManyHostsUseTheWholeRate(t *testing.T) {
	const (
		hosts, tokens = 57, 17_000
		rate, burst   = 115_000, 115_000
		patience      = 250 * time.Millisecond
		seconds       = 120
		perSecond     = 1.3 * rate / tokens
	)
	c := qt.New(t)
	limit := Limit{RateTokensPerSecond: rate, BurstTokens: burst}
	o := newTestOwner(limit)
	start := begin.Add(time.Hour)
	reference := &bucket{limit: limit, at: start}
	random := rand.New(rand.NewPCG(1, 1))
	var holders []*Holder
	for i := range hosts {
		holders = append(holders, NewHolder(fmt.Sprint("h", i), "1"))
	}
	admitted, ideal, demands := 0, 0, 0
	count := func(ds []Decision) {
		for _, d := range ds {
			if d.Verdict == Admitted {
				admitted++
			}
		}
	}
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if random.Float64() < perSecond/1000 {
			reference.advance(now)
			if reference.free() >= tokens {
				ideal++
				reference.charge(uint64(ideal), tokens)
			}
			count([]Decision{holders[random.IntN(hosts)].Admit(now, mill, tokens, now.Add(patience))})
		}
		// Each host looks at its grants each 100 ms, as the limiter's loop does.
		for i, h := range holders {
			if len(h.pool(mill).queue) == 0 && (ms+i)%100 != 0 {
				continue
			}
			count(h.Expire(now))
			for _, r := range h.Requests(now) {
				demands++
				count(h.Answer(now, o.Grant(now, r)))
			}
		}
		o.commitAll(now)
	}
	c.Logf("admitted %d, one bucket %d, demands %d", admitted, ideal, demands)
	c.Assert(admitted*100 >= ideal*97, qt.IsTrue, qt.Commentf("admitted %d, one bucket %d", admitted, ideal))
}
