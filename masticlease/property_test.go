package masticlease

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "400")
}

var begin = time.Unix(1_800_000_000, 0)

// pick draws one of from with about equal probability; rapid's own choice favours the first ones.
func pick[T any](t *rapid.T, label string, from ...T) T {
	n := 0
	for range 5 {
		n *= 2
		if rapid.Bool().Draw(t, label) {
			n++
		}
	}
	return from[n%len(from)]
}

// host is a host with the revision that it serves and its clock's drift in 1/256.
type host struct {
	name     string
	holder   *Holder
	revision uint64
	drift    int64
}

// message is a renewal or a grant in transit, to be delivered at a time.
type message struct {
	at      time.Time
	host    int
	to      *Holder
	term    uint64
	renewal *Renewal
	grant   *Grant
}

// leader is one leader's term. It may grant leases until leaderLeaseUntil.
type leader struct {
	term             uint64
	grantor          *Grantor
	leaderLeaseUntil time.Time
}

// inForceEstimate identifies a leader's estimate of the time by which a revision is in force.
type inForceEstimate struct {
	term     int
	revision uint64
}

// fleet simulates hosts, a sequence of leaders, and a network that loses, repeats, delays and
// reorders messages. A former leader continues until its leader lease ends.
type fleet struct {
	t                 *rapid.T
	now               time.Time
	hosts             []*host
	names             []string
	incarnations      int
	leaders           []leader
	committedRevision uint64
	inForceRevision   uint64
	network           []message
	estimates         map[inForceEstimate]time.Time
}

const leaseLifetime = time.Second

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, now: begin, committedRevision: 1, estimates: make(map[inForceEstimate]time.Time)}
	for i := range pick(t, "hosts", 1, 2, 3) {
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("h%d", i), drift: pick(t, "drift", int64(-3), 0, 3)})
		f.names = append(f.names, f.hosts[i].name)
		f.restart(i)
	}
	f.startLeader()
	return f
}

// restart begins a new incarnation with a view that may be outdated, as a peer may have sent it.
func (f *fleet) restart(i int) {
	f.incarnations++
	h := f.hosts[i]
	h.holder = NewHolder(h.name, fmt.Sprint(f.incarnations))
	h.revision = max(1, f.committedRevision-min(f.committedRevision, pick(f.t, "behind", uint64(0), 1, 3)))
	h.holder.SetRevision(h.revision)
}

func (f *fleet) startLeader() {
	term := uint64(len(f.leaders) + 1)
	g := NewGrantor(f.now, term, f.committedRevision, WithLeaseLifetime(leaseLifetime), WithHosts(f.names))
	f.leaders = append(f.leaders, leader{term: term, grantor: g})
	f.heartbeat()
}

// heartbeat extends the current leader's leader lease.
func (f *fleet) heartbeat() {
	f.leaders[len(f.leaders)-1].leaderLeaseUntil = f.now.Add(300 * time.Millisecond)
}

// elect starts a new leader after the former leader's leader lease has ended.
func (f *fleet) elect() {
	if until := f.leaders[len(f.leaders)-1].leaderLeaseUntil; f.now.Before(until) {
		f.now = until
	}
	f.startLeader()
}

func (f *fleet) clock(h *host) time.Time {
	return f.now.Add(f.now.Sub(begin) * time.Duration(h.drift) / 256)
}

func (f *fleet) send(m message) {
	for range pick(f.t, "copies", 0, 1, 1, 1, 1, 1, 1, 2) {
		m.at = f.now.Add(time.Duration(pick(f.t, "delay ms", 0, 0, 0, 1, 5, 50, 400, 1500)) * time.Millisecond)
		f.network = append(f.network, m)
	}
}

func (f *fleet) deliver() {
	due := f.network
	f.network = nil
	for _, m := range due {
		if m.at.After(f.now) {
			f.network = append(f.network, m)
			continue
		}
		f.receive(m)
	}
}

func (f *fleet) receive(m message) {
	if m.grant != nil {
		m.to.ApplyGrant(*m.grant)
		return
	}
	l := f.leaders[m.term-1]
	g := l.grantor.Renew(f.now, l.leaderLeaseUntil, *m.renewal)
	f.send(message{host: m.host, to: m.to, grant: &g})
}

func (f *fleet) step() {
	f.now = f.now.Add(time.Duration(pick(f.t, "pass ms", 0, 1, 5, 20, 50, 100, 300, 700)) * time.Millisecond)
	f.deliver()
	last := f.leaders[len(f.leaders)-1]
	i := pick(f.t, "host", 0, 1, 2) % len(f.hosts)
	h := f.hosts[i]
	switch pick(f.t, "action", "restart", "elect", "publish", "install", "install", "renew", "renew", "renew") {
	case "restart":
		if pick(f.t, "fault", true, false, false) {
			f.restart(i)
		}
	case "elect":
		if pick(f.t, "fault", true, false, false) {
			f.elect()
		}
	case "publish":
		f.committedRevision++
		last.grantor.Committed(f.now, f.committedRevision)
	case "install":
		h.revision = f.committedRevision
		h.holder.SetRevision(h.revision)
	case "renew":
		r := h.holder.Renewal(f.clock(h))
		term := max(1, int64(last.term)-pick(f.t, "former leader", int64(0), 0, 1))
		f.send(message{host: i, to: h.holder, term: uint64(term), renewal: &r})
	}
	if pick(f.t, "heartbeat", true, true, false) && f.now.Before(f.leaders[len(f.leaders)-1].leaderLeaseUntil) {
		f.heartbeat()
	}
	f.deliver()
	f.check()
}

// check fails if the newest revision is not in force by the time that the leader estimated, or
// if a host with a lease serves a revision older than one reported to be in force.
func (f *fleet) check() {
	g := f.leaders[len(f.leaders)-1].grantor
	ok, by := g.InForce(f.now, f.committedRevision)
	k := inForceEstimate{len(f.leaders), f.committedRevision}
	if estimate, known := f.estimates[k]; !ok && known && !f.now.Before(estimate) {
		f.t.Fatalf("revision %d is not in force %v after the estimated time", f.committedRevision, f.now.Sub(estimate))
	}
	if ok {
		f.inForceRevision = max(f.inForceRevision, f.committedRevision)
	} else if _, known := f.estimates[k]; !known {
		f.estimates[k] = by
	}
	for _, h := range f.hosts {
		if h.holder.Held(f.clock(h)) && h.revision < f.inForceRevision {
			f.t.Fatalf("%s serves revision %d after %d was reported to be in force", h.name, h.revision, f.inForceRevision)
		}
	}
}

func TestNoLeasedHostServesOldRevisionOnceInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range 150 {
			f.step()
		}
	})
}

func TestRenewalBelowInForceRevisionIsRefused(t *testing.T) {
	c := qt.New(t)
	g := NewGrantor(begin, 1, 1, WithLeaseLifetime(leaseLifetime), WithHosts(nil))
	g.Committed(begin, 2)
	ok, _ := g.InForce(begin, 2)
	c.Assert(ok, qt.IsTrue)
	late := g.Renew(begin, begin.Add(leaseLifetime), Renewal{ID: 1, Host: "a", Incarnation: "1", Acknowledged: 1})
	c.Assert(late, qt.Equals, Grant{ID: 1, Term: 1, Revision: 2})
	fresh := g.Renew(begin, begin.Add(leaseLifetime), Renewal{ID: 2, Host: "a", Incarnation: "1", Acknowledged: 2})
	c.Assert(fresh.Lifetime, qt.Equals, leaseLifetime)
}

func TestHolderIgnoresUnknownRepeatedAndOutdatedGrants(t *testing.T) {
	c := qt.New(t)
	h := NewHolder("a", "1")
	first, second := h.Renewal(begin), h.Renewal(begin.Add(time.Second))
	c.Assert(h.ApplyGrant(Grant{ID: 9, Term: 1, Lifetime: leaseLifetime}), qt.IsFalse)
	c.Assert(h.ApplyGrant(Grant{ID: second.ID, Term: 2, Lifetime: leaseLifetime}), qt.IsTrue)
	c.Assert(h.ApplyGrant(Grant{ID: second.ID, Term: 2, Lifetime: 9 * leaseLifetime}), qt.IsFalse)
	c.Assert(h.ApplyGrant(Grant{ID: first.ID, Term: 2, Lifetime: 9 * leaseLifetime}), qt.IsFalse)
	third := h.Renewal(begin.Add(time.Second))
	c.Assert(h.ApplyGrant(Grant{ID: third.ID, Term: 1, Lifetime: 9 * leaseLifetime}), qt.IsFalse)
	c.Assert(h.ExpiresAt(), qt.Equals, begin.Add(time.Second+leaseLifetime))
}
