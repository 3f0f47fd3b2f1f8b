package masticcontrol_test

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"masticladder/masticcall"
	"masticladder/masticcontrol"
	"masticladder/masticview"
)

// BenchmarkPublishInForce publishes one change after another to a number of hosts and waits until
// each is in force.
func BenchmarkPublishInForce(b *testing.B) {
	for _, n := range []int{8, 50, 100} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) { benchmarkPublish(b, n) })
	}
}

func benchmarkPublish(b *testing.B, n int) {
	c, agents := idleAgents(b, n)
	for i := 0; b.Loop(); i++ {
		p, err := agents[0].Operator().Publish(c.context(), workspaceName(i), 0, workspaceChange(workspaceName(i%10)))
		if err != nil || !p.InForce {
			b.Fatal(p, err)
		}
	}
}

// idleAgents starts a control group and n agents, and waits until each agent holds a lease.
func idleAgents(b *testing.B, n int) (*cluster, []*client) {
	c := newCluster(b, three)
	c.startAll()
	var agents []*client
	for i := range n {
		agents = append(agents, c.agent(i+1))
	}
	c.publish(agents[0], "first", baseChange(n))
	for _, a := range agents {
		c.eventually("a lease", func() bool { return a.Leased(time.Now()) })
	}
	return c, agents
}

func BenchmarkReserveGroupCommit(b *testing.B) {
	benchmarkReserve(b, masticcontrol.DefaultBatchCalls)
}

func BenchmarkReserveOneSyncEach(b *testing.B) { benchmarkReserve(b, 1) }

// benchmarkReserve reserves orders from many concurrent callers.
func benchmarkReserve(b *testing.B, batch int) {
	c := newCluster(b, three, masticcontrol.WithBatchCalls(batch))
	c.startAll()
	a := c.agent(1)
	c.publish(a, "first", baseChange(1))
	var number atomic.Int64
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := masticcall.OrderKey{Workspace: "saws", IdempotencyKey: fmt.Sprintf("order-%d", number.Add(1))}
			if _, err := a.Ledger().Reserve(c.context(), key, masticview.DigestOf(nil), time.Now().Add(time.Minute)); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}

// BenchmarkIdle reports the cost of idle agents: bytes per second on the wire of one agent and of
// the leader, the heap, and the processor time of the whole process, control hosts included.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{1, 26, 51} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) { benchmarkIdle(b, n) })
	}
}

func benchmarkIdle(b *testing.B, n int) {
	c, agents := idleAgents(b, n)
	leader := c.nodes[c.leader(agents[0])]
	for b.Loop() {
		in, out := agents[0].wire.Bytes()
		leaderIn, leaderOut := leader.wire.Bytes()
		cpu, begin := processorTime(), time.Now()
		time.Sleep(10 * time.Second)
		seconds := time.Since(begin).Seconds()
		afterIn, afterOut := agents[0].wire.Bytes()
		leaderAfterIn, leaderAfterOut := leader.wire.Bytes()
		b.ReportMetric(float64(afterIn-in)/seconds, "agentInB/s")
		b.ReportMetric(float64(afterOut-out)/seconds, "agentOutB/s")
		b.ReportMetric(float64(leaderAfterIn-leaderIn+leaderAfterOut-leaderOut)/seconds, "leaderB/s")
		b.ReportMetric(float64(heapBytes())/1024, "heapKiB")
		b.ReportMetric(100*(processorTime()-cpu).Seconds()/seconds, "core%")
	}
}

// processorTime returns the processor time used by this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the size of the live heap of this process.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkDemand requests quota from the leader like hosts that rarely get requests of a
// workspace: with nearly one demand per request.
func BenchmarkDemand(b *testing.B) {
	_, agents := idleAgents(b, 20)
	before := processorTime()
	var i atomic.Int64
	b.SetParallelism(4)
	b.RunParallel(func(p *testing.PB) {
		a := agents[int(i.Add(1))%len(agents)]
		for p.Next() {
			admission, err := a.Limiter().Admit(b.Context(), workspaceName(0), 1, time.Time{})
			if err == nil {
				admission.Settle(0)
			}
		}
	})
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
}
