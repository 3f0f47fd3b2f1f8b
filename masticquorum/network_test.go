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
	testLatency   = 4 * time.Millisecond
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
	latency   time.Duration
	folders   int
	committed []string
	// committedIn has the term in which each of them was first seen committed.
	committedIn []uint64
	// members is the last committed member list.
	members []*masticproto.Member
	leaders map[uint64]string
	failure string
	// faults are the actions of a history.
	faults []string
	// lostUnbound tells that a folder was lost before the voters' storage was bound.
	lostUnbound bool
}

func newNetwork(seed uint64, voters, others int) *network {
	n := &network{
		random:  rand.New(rand.NewPCG(seed, 0)),
		start:   time.Unix(1000, 0),
		blocked: make(map[[2]string]bool),
		leaders: make(map[uint64]string),
		latency: testLatency,
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

// replaceDisk starts a host from an empty folder. A list of one voter is given to a first folder only.
func (n *network) replaceDisk(h *host) {
	n.folders++
	h.disk = &disk{storage: fmt.Sprintf("s%d", n.folders)}
	n.restart(h)
}

// restart makes a core from what the disk has.
func (n *network) restart(h *host) {
	var members []*masticproto.Member
	first := len(n.bootstrap) > 1 || n.folders <= len(n.hosts)
	if first && slices.ContainsFunc(n.bootstrap, func(m *masticproto.Member) bool { return m.GetId() == h.id }) {
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
		n.observe(h, r.Committed)
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
			delay := time.Duration(n.random.Int64N(int64(n.latency)))
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
		n.now = n.next(end)
		n.startHosts()
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

// next returns when something happens next, at most end.
func (n *network) next(end time.Time) time.Time {
	least := end
	for _, v := range n.messages {
		least = earlier(least, v.due)
	}
	for _, h := range n.hosts {
		for _, t := range []time.Time{h.downUntil, h.pausedUntil} {
			if t.After(n.now) {
				least = earlier(least, t)
			}
		}
		if n.up(h) {
			d := float64(h.core.NextDeadline().Sub(n.start)) / h.rate
			least = earlier(least, n.start.Add(time.Duration(d)+time.Microsecond))
		}
	}
	if !least.After(n.now) {
		return n.now.Add(time.Microsecond)
	}
	return least
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// startHosts starts the hosts whose time to be down is over.
func (n *network) startHosts() {
	for _, h := range n.hosts {
		if !h.downUntil.IsZero() && !n.now.Before(h.downUntil) {
			h.downUntil = time.Time{}
			n.restart(h)
		}
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
		if n.up(h) && h.core.role == roleLeader {
			leading = append(leading, h)
		}
	}
	if len(leading) == 0 {
		return nil
	}
	return slices.MaxFunc(leading, func(a, b *host) int { return cmp.Compare(a.core.term, b.core.term) })
}

// change proposes a member change at the leader.
func (n *network) change(kind ChangeKind, id string) error {
	h := n.leader()
	if h == nil {
		return nil
	}
	err := h.core.ProposeMembers(n.clock(h), Change{Kind: kind, ID: id})
	n.drive(h)
	return err
}

// propose proposes a command at the leader.
func (n *network) propose(data string) {
	if h := n.leader(); h != nil {
		_, _, _ = h.core.Propose(n.clock(h), []byte(data))
		n.drive(h)
	}
}
