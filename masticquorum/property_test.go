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

// membershipIntact reports whether every voter still has the storage to which the committed
// member list binds it, and no host has a later member list in effect.
func (n *network) membershipIntact() bool {
	list := memberList{members: n.members}
	if !list.storageBound() {
		return false
	}
	for _, m := range list.voters() {
		if n.host(m.GetId()).disk.storage != m.GetStorage() {
			return false
		}
	}
	for _, h := range n.hosts {
		if h.core.currentMembers().index > uint64(len(n.committed)) {
			return false
		}
	}
	return true
}

// repair does what the owner of a core does: it demotes voters that lost their disk and promotes
// learners that have caught up.
func (n *network) repair() {
	h := n.leader()
	if h == nil {
		return
	}
	for _, p := range h.core.Status(n.clock(h)).Peers {
		switch {
		case p.StorageReplaced:
			_ = n.proposeChange(ChangeDemote, p.ID)
		case p.CaughtUp:
			_ = n.proposeChange(ChangePromote, p.ID)
		}
	}
}

// loseDiskIfSafe gives a host an empty disk, unless that could lose a quorum for good.
func (n *network) loseDiskIfSafe(h *host) {
	list := memberList{members: n.members}
	switch {
	case len(list.voters()) < 3:
	case n.membershipIntact():
		n.replaceDisk(h)
	case !list.storageBound() && !n.lostUnbound:
		n.lostUnbound = true
		n.replaceDisk(h)
	}
}

// compact takes a snapshot of the host's applied entries.
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

// changeBlockedLinks randomly blocks and unblocks links: those from a host, those to it, both
// or those of all hosts.
func (n *network) changeBlockedLinks(t *rapid.T, h *host) {
	direction := rapid.IntRange(0, 3).Draw(t, "way")
	for _, a := range n.hosts {
		for _, b := range n.hosts {
			fromHost := a == h && direction != 1
			toHost := b == h && direction != 0
			switch {
			case direction == 3:
				n.blocked[[2]string{a.id, b.id}] = n.random.Float64() < 0.35
			case fromHost || toHost:
				n.blocked[[2]string{a.id, b.id}] = n.random.Float64() < 0.8
			}
		}
	}
}

// performAction performs one step of a random history.
func (n *network) performAction(t *rapid.T, step int) {
	h := rapid.SampledFrom(n.hosts).Draw(t, "host")
	if l := n.leader(); l != nil && rapid.Bool().Draw(t, "at the leader") {
		h = l
	}
	switch rapid.SampledFrom(n.actions).Draw(t, "action") {
	case "propose":
		n.propose(fmt.Sprintf("%d", step))
		n.propose(fmt.Sprintf("%d again", step))
	case "crash":
		h.crashPoint = rapid.SampledFrom([]crashPoint{crashBeforeSave, crashBeforeSend, crashBeforeApply}).Draw(t, "cut")
	case "down":
		h.downUntil = n.now.Add(n.randomDuration(4 * testElectionTimeout))
	case "pause":
		h.pausedUntil = n.now.Add(n.randomDuration(4 * testElectionTimeout))
	case "block":
		n.changeBlockedLinks(t, h)
	case "heal":
		clear(n.blocked)
	case "loss":
		n.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "rate")
	case "latency":
		n.maxLatency = rapid.SampledFrom([]time.Duration{2, 10, 40, 120}).Draw(t, "latency") * time.Millisecond
	case "compact":
		n.compact(h)
	case "repair":
		n.repair()
	case "lose disk":
		n.loseDiskIfSafe(h)
	case "add":
		_ = n.proposeChange(ChangeAdd, h.id)
	case "remove":
		if n.membershipIntact() {
			_ = n.proposeChange(ChangeRemove, h.id)
		}
	case "run long":
		n.run(n.randomDuration(6 * testElectionTimeout))
	case "resign":
		h.core.Resign(n.clock(h))
	}
	n.run(n.randomDuration(2 * testElectionTimeout))
}

func (n *network) randomDuration(d time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(d))) + 1
}

var actions = []string{
	"crash", "crash", "down", "pause", "block", "heal", "loss", "latency",
	"compact", "lose disk", "add", "remove", "resign", "run long",
}

// chooseActions returns the actions of one history. It chooses only a few kinds, so that these
// often coincide.
func (n *network) chooseActions() []string {
	chosen := []string{"propose", "repair"}
	for range 2 + n.random.IntN(6) {
		chosen = append(chosen, actions[n.random.IntN(len(actions))])
	}
	return chosen
}

// healAndCheckProgress ends all faults and checks that a new command is applied on all members.
func (n *network) healAndCheckProgress() {
	clear(n.blocked)
	n.lossRate = 0
	n.maxLatency = testMaxLatency
	for _, h := range n.hosts {
		h.crashPoint = crashNever
		h.pausedUntil = time.Time{}
	}
	for range 25 {
		n.run(testElectionTimeout)
		n.repair()
	}
	before := len(n.committed)
	n.propose("last")
	n.run(testElectionTimeout)
	if len(n.committed) <= before {
		n.fail("no entry was committed after the faults ended")
	}
	for _, m := range n.members {
		if a := len(n.host(m.GetId()).applied); a != len(n.committed) {
			n.fail("%s applied %d of %d entries after the faults ended", m.GetId(), a, len(n.committed))
		}
	}
}

// runRandomHistory runs a random sequence of proposals, repairs and faults on simulated hosts.
func runRandomHistory(t *rapid.T) {
	voters := rapid.SampledFrom([]int{3, 3, 3, 5, 2, 1}).Draw(t, "voters")
	runFaults(t, newNetwork(rapid.Uint64().Draw(t, "seed"), voters, 2))
}

func runFaults(t *rapid.T, n *network) {
	n.run(4 * testElectionTimeout)
	n.actions = n.chooseActions()
	steps := rapid.IntRange(10, 60).Draw(t, "steps")
	for i := range steps {
		n.performAction(t, i)
		if n.failure != "" {
			t.Fatal(n.failure)
		}
	}
	n.healAndCheckProgress()
	if n.failure != "" {
		t.Fatal(n.failure)
	}
}

func TestRandomFaultHistories(t *testing.T) { rapid.Check(t, runRandomHistory) }

// TestRandomFaultHistoriesOfFounders is the same for a group whose initial list is given once.
func TestRandomFaultHistoriesOfFounders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runFaults(t, newFounding(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")))
	})
}
