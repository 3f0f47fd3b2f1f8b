package masticquorum

import (
	"fmt"
	"slices"

	"masticladder/masticproto"
)

func formatEntry(e *masticproto.Entry) string {
	return fmt.Sprintf("%d %d %q", e.GetTerm(), e.GetKind(), e.GetData())
}

// checkCommitted checks that committed entries have no gap and never change.
func (n *network) checkCommitted(h *host, entries []*masticproto.Entry) {
	for _, e := range entries {
		i := int(e.GetIndex())
		switch {
		case i > len(n.committed)+1:
			n.fail("entry %d is committed before entry %d", i, len(n.committed)+1)
		case i == len(n.committed)+1:
			n.committed = append(n.committed, formatEntry(e))
			n.committedTerms = append(n.committedTerms, h.core.term)
			if e.GetKind() == masticproto.EntryKind_ENTRY_MEMBERS {
				l, _ := decodeMembers(e)
				n.members = l.members
			}
		case n.committed[i-1] != formatEntry(e):
			n.fail("entry %d changed from %s to %s", i, n.committed[i-1], formatEntry(e))
		}
	}
}

// applyAndCheck applies the snapshot and the committed entries of r. It checks that the applied
// sequence has no gap and is a prefix of the committed one.
func (n *network) applyAndCheck(h *host, r Ready) {
	if r.Snapshot != nil {
		if int(r.Snapshot.GetIndex()) <= len(h.applied) {
			n.fail("%s moves back to the snapshot at index %d", h.id, r.Snapshot.GetIndex())
		}
		h.restore(r.Snapshot)
	}
	for _, e := range r.Committed {
		if int(e.GetIndex()) != len(h.applied)+1 {
			n.fail("%s applies entry %d after entry %d", h.id, e.GetIndex(), len(h.applied))
		}
		h.applied = append(h.applied, formatEntry(e))
	}
	if len(h.applied) > len(n.committed) || !slices.Equal(h.applied, n.committed[:len(h.applied)]) {
		n.fail("%s applied a sequence that differs from the committed one", h.id)
	}
}

// checkLeader checks that each term has at most one leader.
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
	n.checkLeaderCompleteness(h)
}

// checkLeaderCompleteness checks that a new leader has every entry that was committed in an
// earlier term.
func (n *network) checkLeaderCompleteness(h *host) {
	l := h.core.log
	for i := l.base; i < uint64(len(n.committed)); i++ {
		if n.committedTerms[i] >= h.core.term {
			continue
		}
		if i >= l.lastIndex() || formatEntry(l.entries[i-l.base]) != n.committed[i] {
			n.fail("leader %s of term %d lacks committed entry %d", h.id, h.core.term, i+1)
			return
		}
	}
}

// checkLease checks that only the leader of the latest term holds the lease.
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
			n.fail("%s holds the lease of term %d while a leader of term %d exists", h.id, s.Term, latest)
		}
	}
}
