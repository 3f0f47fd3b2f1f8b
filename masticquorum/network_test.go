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
	testElectionTimeout   = 100 * time.Millisecond
	testHeartbeatInterval = 20 * time.Millisecond
	testMaxLatency        = 4 * time.Millisecond
)

// disk is the durable state of a host. Its save method does what masticstore does, without files.
type disk struct {
	storage string
	// first is set for the first disk of a host.
	first     bool
	hardState *masticproto.HardState
	entries   []*masticproto.Entry
	snapshot  *masticproto.Snapshot
}

func (d *disk) save(r Ready) {
	if r.HardState != nil {
		d.hardState = r.HardState
	}
	if r.Snapshot != nil {
		d.installSnapshot(r.Snapshot)
	}
	for _, e := range r.Entries {
		i := slices.IndexFunc(d.entries, func(o *masticproto.Entry) bool { return o.GetIndex() >= e.GetIndex() })
		if i >= 0 {
			d.entries = slices.Clone(d.entries[:i])
		}
		d.entries = append(d.entries, e)
	}
}

func (d *disk) installSnapshot(s *masticproto.Snapshot) {
	d.snapshot = s
	i := slices.IndexFunc(d.entries, func(e *masticproto.Entry) bool {
		return e.GetIndex() == s.GetIndex() && e.GetTerm() == s.GetTerm()
	})
	d.entries = slices.Clone(d.entries[i+1:])
	if i < 0 {
		d.entries = nil
	}
}

// crashPoint is the step of the processing of a Ready before which a host crashes.
type crashPoint int

const (
	crashNever crashPoint = iota
	crashBeforeSave
	crashBeforeSend
	crashBeforeApply
)

// host is a simulated host: a core with its disk, its applied entries and its clock.
type host struct {
	id         string
	core       *Core
	disk       *disk
	applied    []string
	crashPoint crashPoint
	// downUntil and pausedUntil are times of the network's clock, not of the host's.
	downUntil   time.Time
	pausedUntil time.Time
	// clockRate is the speed of the host's clock relative to the network's.
	clockRate float64
}

// inFlightMessage is a message that was sent and not yet delivered.
type inFlightMessage struct {
	dueAt   time.Time
	message *masticproto.QuorumMessage
}

// network simulates hosts and the links between them, and checks the invariants of the protocol.
type network struct {
	random       *rand.Rand
	start        time.Time
	now          time.Time
	hosts        []*host
	bootstrap    []*masticproto.Member
	messages     []inFlightMessage
	blocked      map[[2]string]bool
	lossRate     float64
	maxLatency   time.Duration
	storageCount int
	committed    []string
	// committedTerms has, for each committed entry, the term of the host that was the first to
	// report it committed.
	committedTerms []uint64
	// members is the last committed member list.
	members []*masticproto.Member
	leaders map[uint64]string
	failure string
	// actions are the kinds of step from which a random history is drawn.
	actions                            []string
	electionTimeout, heartbeatInterval time.Duration
	// membersGivenOnce is set in a network whose initial list is given only to the first disk of a host.
	membersGivenOnce bool
	// lostUnbound reports that a disk was lost before the voters' storage was bound.
	lostUnbound bool
}

func newNetwork(seed uint64, voters, others int) *network {
	n := &network{
		random:     rand.New(rand.NewPCG(seed, 0)),
		start:      time.Unix(1000, 0),
		blocked:    make(map[[2]string]bool),
		leaders:    make(map[uint64]string),
		maxLatency: testMaxLatency,

		electionTimeout: testElectionTimeout, heartbeatInterval: testHeartbeatInterval,
	}
	n.now = n.start
	for range voters + others {
		n.newHost()
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

// newHost adds a host, which is started by replaceDisk.
func (n *network) newHost() *host {
	h := &host{id: fmt.Sprintf("h%d", len(n.hosts)), clockRate: 0.97 + 0.06*n.random.Float64()}
	n.hosts = append(n.hosts, h)
	return h
}

func (n *network) fail(format string, args ...any) {
	if n.failure == "" {
		n.failure = n.now.Sub(n.start).String() + ": " + fmt.Sprintf(format, args...)
	}
}

func (n *network) clock(h *host) time.Time {
	return n.start.Add(time.Duration(float64(n.now.Sub(n.start)) * h.clockRate))
}

// replaceDisk restarts a host with an empty disk. An initial list with one voter is given only
// to the first disk of a host.
func (n *network) replaceDisk(h *host) {
	n.storageCount++
	h.disk = &disk{storage: fmt.Sprintf("s%d", n.storageCount), first: h.disk == nil}
	n.restart(h)
}

// restart replaces the host's core by a new one that starts from its disk.
func (n *network) restart(h *host) {
	var members []*masticproto.Member
	first := (len(n.bootstrap) > 1 && !n.membersGivenOnce) || h.disk.first
	var once []Option
	if n.membersGivenOnce {
		once = append(once, WithMembersGivenOnce())
	}
	if first && slices.ContainsFunc(n.bootstrap, func(m *masticproto.Member) bool { return m.GetId() == h.id }) {
		members = n.bootstrap
	}
	c, err := New(append(once,
		WithID(h.id), WithStorageIncarnation(h.disk.storage), WithGroup(7), WithMembers(members),
		WithHardState(h.disk.hardState), WithEntries(h.disk.entries), WithSnapshot(h.disk.snapshot),
		WithElectionTimeout(n.electionTimeout), WithHeartbeatInterval(n.heartbeatInterval),
		WithMaxAppendBytes(3*entryOverheadBytes), WithMaxInFlight(3), WithRetainedEntries(2),
		WithSeed(n.random.Uint64()), WithStartTime(n.clock(h)),
	)...)
	if err != nil {
		n.fail("%s does not start: %v", h.id, err)
		return
	}
	h.core = c
	h.crashPoint = crashNever
	h.restore(h.disk.snapshot)
}

func (h *host) restore(s *masticproto.Snapshot) {
	h.applied = nil
	if s.GetIndex() > 0 {
		h.applied = strings.Split(string(s.GetData()), "\n")
	}
}

func (n *network) isUp(h *host) bool {
	return !n.now.Before(h.downUntil) && !n.now.Before(h.pausedUntil)
}

// processReady processes the host's Ready values until no work is pending or the host crashes.
func (n *network) processReady(h *host) {
	for n.failure == "" {
		n.checkLeader(h)
		r, pending := h.core.Ready()
		if !pending {
			return
		}
		n.checkCommitted(h, r.Committed)
		if h.crashPoint == crashBeforeSave {
			n.restart(h)
			return
		}
		h.disk.save(r)
		if h.crashPoint == crashBeforeSend {
			n.restart(h)
			return
		}
		n.enqueue(r.Messages)
		if h.crashPoint == crashBeforeApply {
			n.restart(h)
			return
		}
		n.applyAndCheck(h, r)
		h.core.Advance(r)
	}
}

// enqueue adds messages to those in flight. Each may be lost, delayed or duplicated.
func (n *network) enqueue(messages []*masticproto.QuorumMessage) {
	for _, m := range messages {
		copies := 1
		switch f := n.random.Float64(); {
		case f < n.lossRate || n.blocked[[2]string{m.GetFrom(), m.GetTo()}]:
			copies = 0
		case f > 0.97:
			copies = 2
		}
		for range copies {
			delay := time.Duration(n.random.Int64N(int64(n.maxLatency)))
			if n.random.Float64() < n.lossRate {
				delay = time.Duration(n.random.Int64N(int64(4 * testElectionTimeout)))
			}
			n.messages = append(n.messages, inFlightMessage{dueAt: n.now.Add(delay), message: m})
		}
	}
}

// run advances the simulation by d.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end) && n.failure == ""; {
		n.now = n.nextEventTime(end)
		n.startHosts()
		n.deliver()
		for _, h := range n.hosts {
			if n.isUp(h) && !n.clock(h).Before(h.core.NextDeadline()) {
				h.core.Tick(n.clock(h))
				n.processReady(h)
			}
		}
		n.checkLease()
	}
}

// nextEventTime returns the time of the next event, at most end.
func (n *network) nextEventTime(end time.Time) time.Time {
	earliest := end
	for _, v := range n.messages {
		earliest = earlier(earliest, v.dueAt)
	}
	for _, h := range n.hosts {
		for _, t := range []time.Time{h.downUntil, h.pausedUntil} {
			if t.After(n.now) {
				earliest = earlier(earliest, t)
			}
		}
		if n.isUp(h) {
			d := float64(h.core.NextDeadline().Sub(n.start)) / h.clockRate
			earliest = earlier(earliest, n.start.Add(time.Duration(d)+time.Microsecond))
		}
	}
	if !earliest.After(n.now) {
		return n.now.Add(time.Microsecond)
	}
	return earliest
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// startHosts restarts the hosts whose downtime is over.
func (n *network) startHosts() {
	for _, h := range n.hosts {
		if !h.downUntil.IsZero() && !n.now.Before(h.downUntil) {
			h.downUntil = time.Time{}
			n.restart(h)
		}
	}
}

// deliver delivers the messages that are due. A paused host receives them when it resumes.
func (n *network) deliver() {
	slices.SortStableFunc(n.messages, func(a, b inFlightMessage) int { return a.dueAt.Compare(b.dueAt) })
	due := n.messages
	n.messages = nil
	for i, v := range due {
		if v.dueAt.After(n.now) {
			n.messages = append(n.messages, due[i:]...)
			return
		}
		h := n.host(v.message.GetTo())
		switch {
		case n.now.Before(h.downUntil):
		case n.now.Before(h.pausedUntil):
			n.messages = append(n.messages, inFlightMessage{dueAt: h.pausedUntil, message: v.message})
		default:
			h.core.Step(n.clock(h), v.message)
			n.processReady(h)
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
		if n.isUp(h) && h.core.role == roleLeader {
			leading = append(leading, h)
		}
	}
	if len(leading) == 0 {
		return nil
	}
	return slices.MaxFunc(leading, func(a, b *host) int { return cmp.Compare(a.core.term, b.core.term) })
}

// change proposes a member change at the leader.
func (n *network) proposeChange(kind ChangeKind, id string) error {
	h := n.leader()
	if h == nil {
		return nil
	}
	err := h.core.ProposeMemberChange(n.clock(h), Change{Kind: kind, ID: id})
	n.processReady(h)
	return err
}

// propose proposes a command at the leader.
func (n *network) propose(data string) {
	if h := n.leader(); h != nil {
		_, _, _ = h.core.Propose(n.clock(h), []byte(data))
		n.processReady(h)
	}
}
