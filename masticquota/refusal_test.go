package masticquota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation sends one workspace's requests to several hosts. Each reserves 600 tokens, uses 250
// and ends after two seconds. The same requests go to one reference bucket without delays.
type simulation struct {
	random   *rand.Rand
	limit    Limit
	owner    *Owner
	holders  []*Holder
	requests []delayed[GrantRequest]
	answers  []delayed[GrantAnswer]
	running  []delayed[uint64]
	allowed  map[uint64]bool
	bucket   *bucket
	ends     []time.Time

	arrived, admitted, wronglyRefused, ideal, ended int
}

// delayed is an event of one holder at a time.
type delayed[T any] struct {
	at     time.Time
	holder int
	value  T
}

const (
	reservedTokens = 600
	usedTokens     = 250
	runTime        = 2 * time.Second
	oneWayDelay    = time.Millisecond
	waitTimeout    = 200 * time.Millisecond
)

// reference reports whether the reference bucket admits a request.
func (c *simulation) reference(now time.Time) bool {
	c.settleReference(now)
	if c.bucket.freeTokens() < reservedTokens {
		return false
	}
	c.ideal++
	c.bucket.chargeTokens(uint64(c.ideal), reservedTokens)
	c.ends = append(c.ends, now.Add(runTime))
	return true
}

func (c *simulation) settleReference(now time.Time) {
	for len(c.ends) > 0 && !now.Before(c.ends[0]) {
		c.bucket.advance(c.ends[0])
		c.ended++
		c.bucket.creditTokens(uint64(c.ended), reservedTokens-usedTokens)
		c.ends = c.ends[1:]
	}
	c.bucket.advance(now)
}

func (c *simulation) recordDecisions(now time.Time, i int, ds []Decision) {
	for _, d := range ds {
		k := uint64(i)<<48 | d.Ticket
		switch {
		case d.Verdict == Admitted:
			c.admitted++
			c.running = append(c.running, delayed[uint64]{now.Add(runTime), i, d.Ticket})
		case d.Verdict == Refused && c.allowed[k]:
			c.wronglyRefused++
		}
	}
}

func (c *simulation) arrive(now time.Time) {
	c.arrived++
	i := c.random.IntN(len(c.holders))
	allowed := c.reference(now)
	d := c.holders[i].Admit(now, workspaceName, reservedTokens, now.Add(waitTimeout))
	c.allowed[uint64(i)<<48|d.Ticket] = allowed
	c.recordDecisions(now, i, []Decision{d})
}

func (c *simulation) tick(now time.Time, perTick float64) {
	for len(c.requests) > 0 && !now.Before(c.requests[0].at) {
		r := c.requests[0]
		c.requests = c.requests[1:]
		c.answers = append(c.answers, delayed[GrantAnswer]{now.Add(oneWayDelay), r.holder, c.owner.Grant(now, r.value)})
	}
	for len(c.answers) > 0 && !now.Before(c.answers[0].at) {
		a := c.answers[0]
		c.answers = c.answers[1:]
		c.recordDecisions(now, a.holder, c.holders[a.holder].Answer(now, a.value))
	}
	for len(c.running) > 0 && !now.Before(c.running[0].at) {
		r := c.running[0]
		c.running = c.running[1:]
		c.recordDecisions(now, r.holder, c.holders[r.holder].Settle(now, r.value, usedTokens))
	}
	for p := perTick; p > 0; p-- {
		if c.random.Float64() < p {
			c.arrive(now)
		}
	}
	c.owner.commitAll(now)
	for i, h := range c.holders {
		c.recordDecisions(now, i, h.Expire(now))
		for _, r := range h.Requests(now) {
			c.requests = append(c.requests, delayed[GrantRequest]{now.Add(oneWayDelay), i, r})
		}
	}
}

// BenchmarkWrongfulRefusals reports the percentage of requests that the reference bucket admits
// and the hosts refuse, and the hosts' admissions as a percentage of the reference's.
func BenchmarkWrongfulRefusals(b *testing.B) {
	const rate = 10_000
	for _, burst := range []int64{2_000, 20_000, 100_000} {
		for _, load := range []float64{0.5, 0.9, 5} {
			b.Run(fmt.Sprintf("burst%d/load%v", burst, load), func(b *testing.B) {
				var c *simulation
				for b.Loop() {
					l := Limit{RateTokensPerSecond: rate, BurstTokens: burst}
					c = &simulation{random: rand.New(rand.NewPCG(1, 1)), limit: l, owner: newTestOwner(l), allowed: map[uint64]bool{}}
					for i := range 8 {
						c.holders = append(c.holders, NewHolder(fmt.Sprint("h", i), "1"))
					}
					start := begin.Add(time.Hour)
					c.bucket = &bucket{limit: l, backlogAt: start}
					for ms := range 60_000 {
						c.tick(start.Add(time.Duration(ms)*time.Millisecond), load*rate/usedTokens/1000)
					}
				}
				b.ReportMetric(100*float64(c.wronglyRefused)/float64(c.arrived), "%wrong")
				b.ReportMetric(100*float64(c.admitted)/float64(c.ideal), "%ofIdeal")
				b.ReportMetric(100*float64(c.ideal)/float64(c.arrived), "%idealAdmits")
			})
		}
	}
}
