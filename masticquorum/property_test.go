package masticquorum

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"masticladder/masticproto"
)

// bound reports whether the committed list is in force everywhere and each voter speaks from its own storage.
func (n *network) intact() bool {
	list := memberList{members: n.members}
	if !list.bound() {
		return false
	}
	for _, m := range list.voters() {
		if n.host(m.GetId()).disk.storage != m.GetStorage() {
			return false
		}
	}
	for _, h := range n.hosts {
		if h.core.current().index > uint64(len(n.committed)) {
			return false
		}
	}
	return true
}

// repair does what an owner does: a voter that lost its folder is demoted, and a learner promoted.
func (n *network) repair() {
	h := n.leader()
	if h == nil {
		return
	}
	for _, p := range h.core.Status(n.clock(h)).Peers {
		switch {
		case p.Replaced:
			_ = n.change(ChangeDemote, p.ID)
		case p.CaughtUp:
			_ = n.change(ChangePromote, p.ID)
		}
	}
}

// loseDisk gives a host an empty folder, unless that could lose a quorum for good.
func (n *network) loseDisk(h *host) {
	list := memberList{members: n.members}
	switch {
	case len(list.voters()) < 3:
	case n.intact():
		n.replaceDisk(h)
	case !list.bound() && !n.lostUnbound:
		n.lostUnbound = true
		n.replaceDisk(h)
	}
}

// compact takes a snapshot of what a host has applied.
func (n *network) compact(h *host) {
	index := h.core.Status(n.now).Applied
	if index == 0 || n.now.Before(h.downUntil) {
		return
	}
	s, err := h.core.Compact(index, []byte(strings.Join(h.applied[:index], "\n")))
	if err == nil {
		h.disk.snapshot = s
		h.disk.entries = slices.DeleteFunc(slices.Clone(h.disk.entries), func(e *masticproto.Entry) bool {
			return e.GetIndex() <= index
		})
	}
}

// block changes which hosts one host cannot reach, or cannot be reached by.
func (n *network) block(t *rapid.T, h *host) {
	way := rapid.IntRange(0, 3).Draw(t, "way")
	for _, a := range n.hosts {
		for _, b := range n.hosts {
			fromHost := a == h && way != 1
			toHost := b == h && way != 0
			switch {
			case way == 3:
				n.blocked[[2]string{a.id, b.id}] = n.random.Float64() < 0.35
			case fromHost || toHost:
				n.blocked[[2]string{a.id, b.id}] = n.random.Float64() < 0.8
			}
		}
	}
}

// act takes one step of a history.
func (n *network) act(t *rapid.T, step int) {
	h := rapid.SampledFrom(n.hosts).Draw(t, "host")
	if l := n.leader(); l != nil && rapid.Bool().Draw(t, "at the leader") {
		h = l
	}
	switch rapid.SampledFrom(n.faults).Draw(t, "action") {
	case "propose":
		n.propose(fmt.Sprintf("%d", step))
		n.propose(fmt.Sprintf("%d again", step))
	case "crash":
		h.cut = rapid.SampledFrom([]cut{cutBeforeSave, cutBeforeSend, cutBeforeApply}).Draw(t, "cut")
	case "down":
		h.downUntil = n.now.Add(n.upTo(4 * testElection))
	case "pause":
		h.pausedUntil = n.now.Add(n.upTo(4 * testElection))
	case "block":
		n.block(t, h)
	case "heal":
		clear(n.blocked)
	case "loss":
		n.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "rate")
	case "latency":
		n.latency = rapid.SampledFrom([]time.Duration{2, 10, 40, 120}).Draw(t, "latency") * time.Millisecond
	case "compact":
		n.compact(h)
	case "repair":
		n.repair()
	case "lose disk":
		n.loseDisk(h)
	case "add":
		_ = n.change(ChangeAdd, h.id)
	case "remove":
		if n.intact() {
			_ = n.change(ChangeRemove, h.id)
		}
	case "run long":
		n.run(n.upTo(6 * testElection))
	case "resign":
		h.core.Resign(n.clock(h))
	}
	n.run(n.upTo(2 * testElection))
}

func (n *network) upTo(d time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(d))) + 1
}

var actions = []string{
	"crash", "crash", "down", "pause", "block", "heal", "loss", "latency",
	"compact", "lose disk", "add", "remove", "resign", "run long",
}

// chooseFaults returns the actions of one history: a few kinds, so that they often meet.
func (n *network) chooseFaults() []string {
	chosen := []string{"propose", "repair"}
	for range 2 + n.random.IntN(6) {
		chosen = append(chosen, actions[n.random.IntN(len(actions))])
	}
	return chosen
}

// settle ends all faults and checks that a new command is applied on all members.
func (n *network) settle() {
	clear(n.blocked)
	n.lossRate = 0
	n.latency = testLatency
	for _, h := range n.hosts {
		h.cut = cutNever
		h.pausedUntil = time.Time{}
	}
	for range 25 {
		n.run(testElection)
		n.repair()
	}
	before := len(n.committed)
	n.propose("last")
	n.run(testElection)
	if len(n.committed) <= before {
		n.fail("no progress after healing")
	}
	for _, m := range n.members {
		if a := len(n.host(m.GetId()).applied); a != len(n.committed) {
			n.fail("%s applied %d of %d after healing", m.GetId(), a, len(n.committed))
		}
	}
}

// history runs random steps with faults on the real core.
func history(t *rapid.T) {
	voters := rapid.SampledFrom([]int{3, 3, 3, 5, 2, 1}).Draw(t, "voters")
	n := newNetwork(rapid.Uint64().Draw(t, "seed"), voters, 2)
	n.run(4 * testElection)
	n.faults = n.chooseFaults()
	steps := rapid.IntRange(10, 60).Draw(t, "steps")
	for i := range steps {
		n.act(t, i)
		if n.failure != "" {
			t.Fatal(n.failure)
		}
	}
	n.settle()
	if n.failure != "" {
		t.Fatal(n.failure)
	}
}

func TestHistories(t *testing.T) { rapid.Check(t, history) }
