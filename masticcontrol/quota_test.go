package masticcontrol_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// spender admits requests of a workspace as fast as it can and uses all of their tokens.
type spender struct {
	agent   *client
	ended   context.Context
	running *sync.WaitGroup
	spent   *atomic.Int64
}

const spentTokens = 50

func (s *spender) run() {
	defer s.running.Done()
	for s.ended.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ended, 100*time.Millisecond)
		a, err := s.agent.Limiter().Admit(ctx, "saws", spentTokens, time.Time{})
		cancel()
		if err == nil {
			s.spent.Add(spentTokens)
			a.Settle(spentTokens)
		}
	}
}

// TestQuotaHoldsAcrossLeaderChanges checks that the admitted tokens stay within the rate of 1000
// and the burst of 10,000 tokens of baseChange while the leader restarts.
func TestQuotaHoldsAcrossLeaderChanges(t *testing.T) {
	q := quicktest.New(t)
	c := newCluster(t, three)
	c.startAll()
	agents := []*client{c.agent(1), c.agent(2)}
	c.publish(agents[0], "first", baseChange(2))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	var spent atomic.Int64
	begin := time.Now()
	for i := range 8 {
		running.Add(1)
		s := &spender{agent: agents[i%2], ended: ctx, running: &running, spent: &spent}
		go s.run()
	}
	for range 2 {
		target := spent.Load() + 5000
		c.eventually("tokens are admitted", func() bool { return spent.Load() >= target })
		old := c.leader(agents[0])
		c.stop(old)
		c.start(old)
	}
	target := spent.Load() + 2000
	c.eventually("tokens are admitted", func() bool { return spent.Load() >= target })
	cancel()
	running.Wait()
	seconds := time.Since(begin).Seconds()
	bound := 10_000 + int64(1000*seconds) + 1
	t.Logf("%d tokens admitted in %.1f s, at most %d may be", spent.Load(), seconds, bound)
	q.Assert(spent.Load() <= bound, quicktest.IsTrue)
}
