package masticquorum

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"masticladder/masticproto"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

const (
	testElection  = 100 * time.Millisecond
	testHeartbeat = 20 * time.Millisecond
)

// disk is what a host has durably; save does what masticstore does, without files.
type disk struct {
	storage  string
	hard     *masticproto.HardState
	entries  []*masticproto.Entry
	snapshot *masticproto.Snapshot
}

func (d *disk) save(r Ready) {
	if r.HardState != nil {
		d.hard = r.HardState
	}
	if r.Snapshot != nil {
		d.install(r.Snapshot)
	}
	for _, e := range r.Entries {
		at := slices.IndexFunc(d.entries, func(o *masticproto.Entry) bool { return o.GetIndex() >= e.GetIndex() })
		if at >= 0 {
			d.entries = slices.Clone(d.entries[:at])
		}
		d.entries = append(d.entries, e)
	}
}

func (d *disk) install(s *masticproto.Snapshot) {
	d.snapshot = s
	at := slices.IndexFunc(d.entries, func(e *masticproto.Entry) bool {
		return e.GetIndex() == s.GetIndex() && e.GetTerm() == s.GetTerm()
	})
	d.entries = slices.Clone(d.entries[at+1:])
	if at < 0 {
		d.entries = nil
	}
}

// cut is where in its duties a host crashes.
type cut int

const (
	cutNever cut = iota
	cutBeforeSave
	cutBeforeSend
	cutBeforeApply
)

// host is a core, its disk, its applied lines and its clock.
type host struct {
	id      string
	core    *Core
	disk    *disk
	applied []string
	cut     cut
	// downUntil and pausedUntil are in the network's time.
	downUntil   time.Time
	pausedUntil time.Time
	// rate is the speed of the clock.
	rate float64
}

// envelope is a message under way.
type envelope struct {
	due time.Time
	m   *masticproto.QuorumMessage
}

// network moves messages between hosts and checks what must always hold.
type network struct {
	random    *rand.Rand
	start     time.Time
	now       time.Time
	hosts     []*host
	bootstrap []*masticproto.Member
	messages  []envelope
	blocked   map[[2]string]bool
	lossRate  float64
	folders   int
	committed []string
	// members is the last committed member list.
	members []*masticproto.Member
	leaders map[uint64]string
	failure string
}

func newNetwork(seed uint64, voters, others int) *network {
	n := &network{
		random:  rand.New(rand.NewPCG(seed, 0)),
		start:   time.Unix(1000, 0),
		blocked: make(map[[2]string]bool),
		leaders: make(map[uint64]string),
	}
	n.now = n.start
	for i := range voters + others {
		n.hosts = append(n.hosts, &host{id: fmt.Sprintf("h%d", i), rate: 0.97 + 0.06*n.random.Float64()})
	}
	for _, h := range n.hosts[:voters] {
		n.bootstrap = append(n.bootstrap, &masticproto.Member{Id: h.id, Voter: true})
	}
	n.members = n.bootstrap
	for _, h := range n.hosts {
		n.replaceDisk(h)
	}
	return n
}

func (n *network) fail(format string, args ...any) {
	if n.failure == "" {
		n.failure = n.now.Sub(n.start).String() + ": " + fmt.Sprintf(format, args...)
	}
}

func (n *network) clock(h *host) time.Time {
	return n.start.Add(time.Duration(float64(n.now.Sub(n.start)) * h.rate))
}

// replaceDisk starts a host from an empty folder.
func (n *network) replaceDisk(h *host) {
	n.folders++
	h.disk = &disk{storage: fmt.Sprintf("s%d", n.folders)}
	n.restart(h)
}

// restart makes a core from what the disk has.
func (n *network) restart(h *host) {
	var members []*masticproto.Member
	if slices.ContainsFunc(n.bootstrap, func(m *masticproto.Member) bool { return m.GetId() == h.id }) {
		members = n.bootstrap
	}
	c, err := New(
		WithID(h.id), WithStorage(h.disk.storage), WithGroup(7), WithMembers(members),
		WithHardState(h.disk.hard), WithLog(h.disk.entries), WithSnapshot(h.disk.snapshot),
		WithElectionTimeout(testElection), WithHeartbeat(testHeartbeat),
		WithMaxAppendBytes(3*entryOverheadBytes), WithMaxInFlight(3), WithTail(2),
		WithSeed(n.random.Uint64()), WithStart(n.clock(h)),
	)
	if err != nil {
		n.fail("%s does not start: %v", h.id, err)
		return
	}
	h.core = c
	h.cut = cutNever
	h.restore(h.disk.snapshot)
}

func (h *host) restore(s *masticproto.Snapshot) {
	h.applied = nil
	if s.GetIndex() > 0 {
		h.applied = strings.Split(string(s.GetData()), "\n")
	}
}

func (n *network) up(h *host) bool { return !n.now.Before(h.downUntil) && !n.now.Before(h.pausedUntil) }

// drive does what a host's core asks for until it asks no more or the host crashes.
func (n *network) drive(h *host) {
	for n.failure == "" {
		n.checkLeader(h)
		r, some := h.core.Ready()
		if !some {
			return
		}
		n.observe(r.Committed)
		if h.cut == cutBeforeSave {
			n.restart(h)
			return
		}
		h.disk.save(r)
		if h.cut == cutBeforeSend {
			n.restart(h)
			return
		}
		n.post(r.Messages)
		if h.cut == cutBeforeApply {
			n.restart(h)
			return
		}
		n.apply(h, r)
		h.core.Advance(r)
	}
}

func line(e *masticproto.Entry) string {
	return fmt.Sprintf("%d %d %q", e.GetTerm(), e.GetKind(), e.GetData())
}

// observe checks that what is committed is never lost or changed.
func (n *network) observe(entries []*masticproto.Entry) {
	for _, e := range entries {
		i := int(e.GetIndex())
		switch {
		case i > len(n.committed)+1:
			n.fail("entry %d is committed before %d", i, len(n.committed)+1)
		case i == len(n.committed)+1:
			n.committed = append(n.committed, line(e))
			if e.GetKind() == masticproto.EntryKind_ENTRY_MEMBERS {
				l, _ := decodeMembers(e)
				n.members = l.members
			}
		case n.committed[i-1] != line(e):
			n.fail("entry %d changed from %s to %s", i, n.committed[i-1], line(e))
		}
	}
}

// apply checks that the applied sequence has no gap and equals the committed one.
func (n *network) apply(h *host, r Ready) {
	if r.Snapshot != nil {
		if int(r.Snapshot.GetIndex()) <= len(h.applied) {
			n.fail("%s reverts to the snapshot at %d", h.id, r.Snapshot.GetIndex())
		}
		h.restore(r.Snapshot)
	}
	for _, e := range r.Committed {
		if int(e.GetIndex()) != len(h.applied)+1 {
			n.fail("%s applies %d after %d", h.id, e.GetIndex(), len(h.applied))
		}
		h.applied = append(h.applied, line(e))
	}
	if len(h.applied) > len(n.committed) || !slices.Equal(h.applied, n.committed[:len(h.applied)]) {
		n.fail("%s applied another sequence", h.id)
	}
}

// checkLeader checks that a term has one leader, which has all that is committed.
func (n *network) checkLeader(h *host) {
	s := h.core.Status(n.clock(h))
	if !s.Leading {
		return
	}
	name := h.id + "/" + h.disk.storage
	if n.leaders[s.Term] == name {
		return
	}
	if n.leaders[s.Term] != "" {
		n.fail("term %d has leaders %s and %s", s.Term, n.leaders[s.Term], name)
	}
	n.leaders[s.Term] = name
	if int(s.LastIndex) < len(n.committed) {
		n.fail("leader %s lacks committed entry %d", name, len(n.committed))
	}
}

// checkLease checks that at most one host holds the lease, and that no later leader exists then.
func (n *network) checkLease() {
	latest := uint64(0)
	for t := range n.leaders {
		latest = max(latest, t)
	}
	for _, h := range n.hosts {
		s := h.core.Status(n.clock(h))
		if n.now.Before(h.downUntil) || !s.LeaseHeld {
			continue
		}
		if s.Term != latest {
			n.fail("%s holds the lease of term %d beside the leader of %d", h.id, s.Term, latest)
		}
	}
}

// post puts messages under way; each may be lost, late or doubled.
func (n *network) post(messages []*masticproto.QuorumMessage) {
	for _, m := range messages {
		copies := 1
		switch f := n.random.Float64(); {
		case f < n.lossRate || n.blocked[[2]string{m.GetFrom(), m.GetTo()}]:
			copies = 0
		case f > 0.97:
			copies = 2
		}
		for range copies {
			delay := time.Duration(n.random.Int64N(int64(4 * time.Millisecond)))
			if n.random.Float64() < n.lossRate {
				delay = time.Duration(n.random.Int64N(int64(4 * testElection)))
			}
			n.messages = append(n.messages, envelope{due: n.now.Add(delay), m: m})
		}
	}
}

// run lets time pass.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end) && n.failure == ""; {
		n.now = n.now.Add(time.Millisecond)
		n.deliver()
		for _, h := range n.hosts {
			if n.up(h) && !n.clock(h).Before(h.core.NextDeadline()) {
				h.core.Tick(n.clock(h))
				n.drive(h)
			}
		}
		n.checkLease()
	}
}

// deliver hands over the messages that are due; a paused host gets them when it goes on.
func (n *network) deliver() {
	slices.SortStableFunc(n.messages, func(a, b envelope) int { return a.due.Compare(b.due) })
	due := n.messages
	n.messages = nil
	for i, v := range due {
		if v.due.After(n.now) {
			n.messages = append(n.messages, due[i:]...)
			return
		}
		h := n.host(v.m.GetTo())
		switch {
		case n.now.Before(h.downUntil):
		case n.now.Before(h.pausedUntil):
			n.messages = append(n.messages, envelope{due: h.pausedUntil, m: v.m})
		default:
			h.core.Step(n.clock(h), v.m)
			n.drive(h)
		}
	}
}

func (n *network) host(id string) *host {
	return n.hosts[slices.IndexFunc(n.hosts, func(h *host) bool { return h.id == id })]
}

// leader returns the live leader of the highest term, or nil.
func (n *network) leader() *host {
	var leading []*host
	for _, h := range n.hosts {
		if n.up(h) && h.core.Status(n.clock(h)).Leading {
			leading = append(leading, h)
		}
	}
	if len(leading) == 0 {
		return nil
	}
	return slices.MaxFunc(leading, func(a, b *host) int { return cmp.Compare(a.core.term, b.core.term) })
}

// propose proposes a command at the leader.
func (n *network) propose(data string) {
	if h := n.leader(); h != nil {
		_, _, _ = h.core.Propose(n.clock(h), []byte(data))
		n.drive(h)
	}
}
