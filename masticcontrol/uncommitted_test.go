package masticcontrol_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// proposalTimeout is shorter than an election, so that no proposal is repeated at the next leader.
const proposalTimeout = 200 * time.Millisecond

// proposer puts one document to a leader that cannot commit it.
type proposer struct {
	cluster *cluster
	agent   *client
	number  int64
	bytes   int
	done    *sync.WaitGroup
}

func (p *proposer) run() {
	defer p.done.Done()
	ctx, cancel := context.WithTimeout(context.Background(), proposalTimeout)
	defer cancel()
	_ = p.cluster.tryDocumentUntil(ctx, p.agent, p.number, p.bytes)
}

// proposeAlone cuts the leader off, fills what may be proposed and not committed, and waits until another host leads.
func (s *fullDiskSoak) proposeAlone(number int64, n, bytes int) {
	old := s.leader(s.agents[0])
	s.isolate(old, s.network.block)
	var done sync.WaitGroup
	for i := range n {
		done.Add(1)
		p := &proposer{cluster: s.cluster, agent: s.agents[0], number: number + int64(i), bytes: bytes, done: &done}
		go p.run()
	}
	s.eventually("another leader", func() bool { return s.leaderAt(s.agents[1]) != old })
	s.isolate(old, s.network.unblock)
	done.Wait()
}

// leaderAt returns the leader that an agent reaches, "" if none.
func (s *fullDiskSoak) leaderAt(a *client) string {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	status, err := a.Operator().Status(ctx)
	if err != nil {
		return ""
	}
	return status.Leader
}

// TestProposalsOfManyLeadersUseUpTheReserve: what leaders proposed and never committed stayed on their disks, until changes were refused
// for good.
func TestProposalsOfManyLeadersUseUpTheReserve(t *testing.T) {
	q := quicktest.New(t)
	s := newFullDiskSoak(t, 3, 2)
	s.agents = []*client{s.agent(1), s.agent(2)}
	s.publish(s.agents[0], "first", baseChange(2))
	const changes, entries, entryBytes = 16, 60, 8 << 10
	for i := range int64(changes) {
		s.proposeAlone(1000*i+1, entries, entryBytes)
	}
	for name, d := range s.disks {
		d.set(func(d *disk) { t.Logf("%s: at most %d bytes of %d", name, d.most, d.capacity) })
	}
	q.Assert(s.putDocument(s.agents[0], 1_000_000, 100<<10), quicktest.IsNil)
}
