package masticquorum

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const schedulesPerCheck = 6

// runRandomSchedule delivers single messages in any order, and lets election timeouts expire on
// single hosts independently of the others' clocks, so that elections coincide with every stage
// of replication. The lease is not checked, because it relies on clocks.
func runRandomSchedule(t *rapid.T) {
	voters := rapid.SampledFrom([]int{3, 3, 3, 5, 2}).Draw(t, "voters")
	n := newNetwork(rapid.Uint64().Draw(t, "seed"), voters, 1)
	n.lossRate = 0
	events := n.chooseEvents()
	for range rapid.IntRange(500, 3000).Draw(t, "moves") {
		n.performEvent(events[n.random.IntN(len(events))])
		if n.failure != "" {
			t.Fatal(n.failure)
		}
	}
}

// chooseEvents returns the kinds of event of one schedule. A kind that is to occur more often is
// contained more often.
func (n *network) chooseEvents() []string {
	events := slices.Repeat([]string{"deliver"}, 10+n.random.IntN(80))
	for _, m := range []string{
		"drop", "expire", "beat", "propose", "crash", "restart", "compact", "lose disk", "change",
	} {
		events = append(events, slices.Repeat([]string{m}, n.random.IntN(3))...)
	}
	return append(events, "expire", "propose")
}

func (n *network) performEvent(kind string) {
	h := n.hosts[n.random.IntN(len(n.hosts))]
	if kind == "propose" || kind == "beat" || kind == "change" {
		h = n.anyLeader(h)
	}
	switch kind {
	case "deliver", "drop":
		n.deliverOne(kind == "drop")
	case "expire":
		n.expireElectionTimeout(h)
	case "beat":
		n.now = n.now.Add(testHeartbeatInterval)
		h.core.Tick(n.clock(h))
	case "propose":
		_, _, _ = h.core.Propose(n.clock(h), []byte{byte(n.random.Uint32())})
	case "crash":
		h.crashPoint = crashPoint(1 + n.random.IntN(3))
	case "restart":
		n.restart(h)
	case "compact":
		n.compact(h)
	case "lose disk":
		n.loseDiskIfSafe(h)
	case "change":
		kind := ChangeKind(1 + n.random.IntN(4))
		other := n.hosts[n.random.IntN(len(n.hosts))]
		_ = h.core.ProposeMemberChange(n.clock(h), Change{Kind: kind, ID: other.id})
	}
	n.processReady(h)
}

// anyLeader returns a random host that is in the leader role, or h if there is none.
func (n *network) anyLeader(h *host) *host {
	for _, i := range n.random.Perm(len(n.hosts)) {
		if n.hosts[i].core.role == roleLeader {
			return n.hosts[i]
		}
	}
	return h
}

// expireElectionTimeout advances time past the election timeout, but ticks only one host.
func (n *network) expireElectionTimeout(h *host) {
	n.now = n.now.Add(3 * testElectionTimeout)
	if h.core.role != roleLeader || n.random.IntN(4) == 0 {
		h.core.Tick(n.clock(h))
	}
}

// deliverOne delivers or drops one message in flight. The oldest one is chosen more often, and a
// delivered message rarely stays in flight, so that it can be delivered again.
func (n *network) deliverOne(drop bool) {
	if len(n.messages) == 0 {
		return
	}
	i := n.random.IntN(len(n.messages))
	if n.random.IntN(2) == 0 {
		i = 0
	}
	m := n.messages[i].message
	if drop || n.random.IntN(30) > 0 {
		n.messages = slices.Delete(n.messages, i, i+1)
	}
	if drop {
		return
	}
	h := n.host(m.GetTo())
	h.core.Step(n.clock(h), m)
	n.processReady(h)
}

func TestRandomMessageSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range schedulesPerCheck {
			runRandomSchedule(t)
		}
	})
}
