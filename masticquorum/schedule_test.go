package masticquorum

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const schedulesPerCheck = 6

// schedule delivers single messages in any order to hosts whose clocks are not bound to each
// other, so that elections meet at every point. The lease is not checked: it needs clocks.
func schedule(t *rapid.T) {
	voters := rapid.SampledFrom([]int{3, 3, 3, 5, 2}).Draw(t, "voters")
	n := newNetwork(rapid.Uint64().Draw(t, "seed"), voters, 1)
	n.lossRate = 0
	weights := n.chooseMoves()
	for range rapid.IntRange(500, 3000).Draw(t, "moves") {
		n.move(weights[n.random.IntN(len(weights))])
		if n.failure != "" {
			t.Fatal(n.failure)
		}
	}
}

// chooseMoves returns the moves of one schedule, frequent ones more than once.
func (n *network) chooseMoves() []string {
	moves := slices.Repeat([]string{"deliver"}, 10+n.random.IntN(80))
	for _, m := range []string{
		"drop", "expire", "beat", "propose", "crash", "restart", "compact", "lose disk", "change",
	} {
		moves = append(moves, slices.Repeat([]string{m}, n.random.IntN(3))...)
	}
	return append(moves, "expire", "propose")
}

func (n *network) move(kind string) {
	h := n.hosts[n.random.IntN(len(n.hosts))]
	if kind == "propose" || kind == "beat" || kind == "change" {
		h = n.anyLeader(h)
	}
	switch kind {
	case "deliver", "drop":
		n.deliverOne(kind == "drop")
	case "expire":
		n.expire(h)
	case "beat":
		n.now = n.now.Add(testHeartbeat)
		h.core.Tick(n.clock(h))
	case "propose":
		_, _, _ = h.core.Propose(n.clock(h), []byte{byte(n.random.Uint32())})
	case "crash":
		h.cut = cut(1 + n.random.IntN(3))
	case "restart":
		n.restart(h)
	case "compact":
		n.compact(h)
	case "lose disk":
		n.loseDisk(h)
	case "change":
		kind := ChangeKind(1 + n.random.IntN(4))
		other := n.hosts[n.random.IntN(len(n.hosts))]
		_ = h.core.ProposeMembers(n.clock(h), Change{Kind: kind, ID: other.id})
	}
	n.drive(h)
}

// anyLeader returns a host that takes itself for the leader, or h.
func (n *network) anyLeader(h *host) *host {
	for _, i := range n.random.Perm(len(n.hosts)) {
		if n.hosts[i].core.role == roleLeader {
			return n.hosts[i]
		}
	}
	return h
}

// expire lets the election timeout pass, but only one host acts on it.
func (n *network) expire(h *host) {
	n.now = n.now.Add(3 * testElection)
	if h.core.role != roleLeader || n.random.IntN(4) == 0 {
		h.core.Tick(n.clock(h))
	}
}

// deliverOne hands over any message under way, or loses it.
func (n *network) deliverOne(drop bool) {
	if len(n.messages) == 0 {
		return
	}
	i := n.random.IntN(len(n.messages))
	if n.random.IntN(2) == 0 {
		i = 0
	}
	m := n.messages[i].m
	if drop || n.random.IntN(30) > 0 {
		n.messages = slices.Delete(n.messages, i, i+1)
	}
	if drop {
		return
	}
	h := n.host(m.GetTo())
	h.core.Step(n.clock(h), m)
	n.drive(h)
}

func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range schedulesPerCheck {
			schedule(t)
		}
	})
}
