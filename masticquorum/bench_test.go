package masticquorum

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
)

// benchGroup is a group whose messages are delivered immediately and whose storage costs nothing.
type benchGroup struct {
	now   time.Time
	cores map[string]*Core
	order []string
	// messages and bytes count the sent messages and their encoded size.
	messages int
	bytes    int
	// applied counts the entries that the leader applied.
	applied int
}

func newBenchGroup(b *testing.B, voters int) *benchGroup {
	g := &benchGroup{now: testStart, cores: make(map[string]*Core)}
	var members []*masticproto.Member
	for i := range voters {
		g.order = append(g.order, fmt.Sprintf("control-host-%d", i))
		members = append(members, &masticproto.Member{Id: g.order[i], Voter: true})
	}
	for i, id := range g.order {
		c, err := New(WithID(id), WithStorageIncarnation("6f1c2a52-9a0e-4c1e-9f0a-"+fmt.Sprintf("%012d", i)),
			WithMembers(members), WithStartTime(g.now), WithSeed(uint64(i)))
		if err != nil {
			b.Fatal(err)
		}
		g.cores[id] = c
	}
	first := g.cores[g.order[0]]
	g.now = first.NextDeadline()
	first.Tick(g.now)
	g.processReady()
	if first.role != roleLeader {
		b.Fatal("no leader")
	}
	return g
}

func (g *benchGroup) leader() *Core { return g.cores[g.order[0]] }

// processReady processes the Ready values of all cores until none has pending work.
func (g *benchGroup) processReady() {
	for progressed := true; progressed; {
		progressed = false
		for _, id := range g.order {
			c := g.cores[id]
			r, pending := c.Ready()
			if !pending {
				continue
			}
			progressed = true
			for _, m := range r.Messages {
				g.messages++
				g.bytes += proto.Size(m)
				g.cores[m.GetTo()].Step(g.now, m)
			}
			if c == g.leader() {
				g.applied += len(r.Committed)
			}
			c.Advance(r)
		}
	}
}

// BenchmarkIdleHeartbeat measures one heartbeat round of a leader, including the answers.
func BenchmarkIdleHeartbeat(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			g := newBenchGroup(b, voters)
			g.messages, g.bytes = 0, 0
			b.ReportAllocs()
			for b.Loop() {
				g.now = g.now.Add(defaultHeartbeatInterval)
				g.leader().Tick(g.now)
				g.processReady()
			}
			pairs := float64(b.N * (voters - 1))
			b.ReportMetric(float64(g.bytes)/pairs, "bytes/heartbeat+answer")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/pairs, "ns/heartbeat+answer")
		})
	}
}

// BenchmarkCommit measures the processor time of all cores together to commit an entry of 200 bytes.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{3, 5} {
		for _, batch := range []int{1, 64} {
			b.Run(fmt.Sprintf("voters=%d/batch=%d", voters, batch), func(b *testing.B) {
				g := newBenchGroup(b, voters)
				g.applied, g.messages = 0, 0
				data := make([]byte, 200)
				b.ReportAllocs()
				for b.Loop() {
					for range batch {
						if _, _, err := g.leader().Propose(g.now, data); err != nil {
							b.Fatal(err)
						}
					}
					g.processReady()
					g.compact(b)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(g.applied), "ns/entry")
				b.ReportMetric(float64(g.messages)/float64(g.applied), "messages/entry")
			})
		}
	}
}

// compact takes a snapshot on each core that has applied 4096 entries since the last one.
func (g *benchGroup) compact(b *testing.B) {
	for _, c := range g.cores {
		if c.applied < c.snapshot.GetIndex()+4096 {
			continue
		}
		if _, err := c.Compact(c.applied, nil); err != nil {
			b.Fatal(err)
		}
	}
}
