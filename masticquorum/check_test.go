package masticquorum

import (
	"fmt"
	"slices"

	"masticladder/masticproto"
)

func line(e *masticproto.Entry) string {
	return fmt.Sprintf("%d %d %q", e.GetTerm(), e.GetKind(), e.GetData())
}

// observe checks that what is committed is never lost or changed.
func (n *network) observe(h *host, entries []*masticproto.Entry) {
	for _, e := range entries {
		i := int(e.GetIndex())
		switch {
		case i > len(n.committed)+1:
			n.fail("entry %d is committed before %d", i, len(n.committed)+1)
		case i == len(n.committed)+1:
			n.committed = append(n.committed, line(e))
			n.committedIn = append(n.committedIn, h.core.term)
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

// checkLeader checks that a term has one leader.
func (n *network) checkLeader(h *host) {
	if h.core.role != roleLeader {
		return
	}
	s := h.core.Status(n.clock(h))
	name := h.id + "/" + h.disk.storage
	if n.leaders[s.Term] == name {
		return
	}
	if n.leaders[s.Term] != "" {
		n.fail("term %d has leaders %s and %s", s.Term, n.leaders[s.Term], name)
	}
	n.leaders[s.Term] = name
	n.checkComplete(h)
}

// checkComplete checks that a new leader has each entry that was committed in an earlier term.
func (n *network) checkComplete(h *host) {
	l := h.core.log
	for i := l.base; i < uint64(len(n.committed)); i++ {
		if n.committedIn[i] >= h.core.term {
			continue
		}
		if i >= l.last() || line(l.entries[i-l.base]) != n.committed[i] {
			n.fail("leader %s of term %d lacks committed entry %d", h.id, h.core.term, i+1)
			return
		}
	}
}

// checkLease checks that at most one host holds the lease, and that no later leader exists then.
func (n *network) checkLease() {
	latest := uint64(0)
	for t := range n.leaders {
		latest = max(latest, t)
	}
	for _, h := range n.hosts {
		if h.core.role != roleLeader || n.now.Before(h.downUntil) {
			continue
		}
		if s := h.core.Status(n.clock(h)); s.LeaseHeld && s.Term != latest {
			n.fail("%s holds the lease of term %d beside the leader of %d", h.id, s.Term, latest)
		}
	}
}
