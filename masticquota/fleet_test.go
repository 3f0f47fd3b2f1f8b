package masticquota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestManyHostsUseTheWholeRate replays a workspace of a fleet of 57 hosts after its rate was
// cut: requests of 17,000 tokens at 1.3 times the rate, each at a host that sees the workspace
// once in six seconds. The owner and its hosts must admit what one bucket would. It rules out
// that refusals at such a load come from spent grants that still count as outstanding.
func TestManyHostsUseTheWholeRate(t *testing.T) {
	const (
		hosts, tokens = 57, 17_000
		rate, burst   = 115_000, 115_000
		waitTimeout   = 250 * time.Millisecond
		seconds       = 120
		perSecond     = 1.3 * rate / tokens
	)
	c := qt.New(t)
	limit := Limit{RateTokensPerSecond: rate, BurstTokens: burst}
	o := newTestOwner(limit)
	start := begin.Add(time.Hour)
	reference := &bucket{limit: limit, backlogAt: start}
	random := rand.New(rand.NewPCG(1, 1))
	var holders []*Holder
	for i := range hosts {
		holders = append(holders, NewHolder(fmt.Sprint("h", i), "1"))
	}
	admitted, ideal, requests := 0, 0, 0
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
			if reference.freeTokens() >= tokens {
				ideal++
				reference.chargeTokens(uint64(ideal), tokens)
			}
			count([]Decision{holders[random.IntN(hosts)].Admit(now, workspaceName, tokens, now.Add(waitTimeout))})
		}
		// Each host checks its grants every 100 ms, like the limiter's loop.
		for i, h := range holders {
			if len(h.pool(workspaceName).queue) == 0 && (ms+i)%100 != 0 {
				continue
			}
			count(h.Expire(now))
			for _, r := range h.Requests(now) {
				requests++
				count(h.Answer(now, o.Grant(now, r)))
			}
		}
		o.commitAll(now)
	}
	c.Logf("admitted %d, one bucket %d, demands %d", admitted, ideal, requests)
	c.Assert(admitted*100 >= ideal*97, qt.IsTrue, qt.Commentf("admitted %d, one bucket %d", admitted, ideal))
}
