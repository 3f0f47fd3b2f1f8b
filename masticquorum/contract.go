// Package masticquorum is a consensus core without input or output: a replicated
// log with pre-vote, check-quorum, a leader lease, learners, one member change at
// a time and snapshots. Time is an argument of each call.
//
// A Core is not safe for concurrent use; one loop owns it. After each batch of
// calls to Tick, Step and Propose the owner calls Ready, does what it says and
// calls Advance. Tick is due at NextDeadline.
//
// A voter is a pair of a host and the incarnation of its data folder. A host that
// lost its folder comes back under another incarnation: its votes and answers do
// not count until a leader has demoted it to a learner and promoted it again.
package masticquorum

import (
	"time"

	"masticladder/masticproto"
)

// Ready is what the owner of a Core has to do, in this order: store HardState,
// Entries and Snapshot durably, send Messages, replace the state by Snapshot,
// apply Committed, then call Advance.
type Ready struct {
	// HardState is nil when it has not changed.
	HardState *masticproto.HardState
	// Entries are to be appended; an entry replaces a stored one of the same index and all after it.
	Entries []*masticproto.Entry
	// Snapshot is nil unless the state was replaced by the leader's snapshot.
	Snapshot *masticproto.Snapshot
	// Messages are to be sent after the above is durable.
	Messages []*masticproto.QuorumMessage
	// Committed are the entries to apply, in order, each once. A proposal was lost
	// if the entry at its index has another term than Propose returned, or if
	// Snapshot passes over its index.
	Committed []*masticproto.Entry
}

// Status is a copy of what a Core knows of itself.
type Status struct {
	ID      string
	Term    uint64
	Leader  string
	Leading bool
	// LeaseHeld reports that no other leader can exist at the time of the call, and
	// that everything committed before this leader's term has been applied here.
	LeaseHeld bool
	// LeaseUntil is the end of the leader's lease as known now; it is zero on others.
	LeaseUntil time.Time
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	// SnapshotIndex is the index of the latest snapshot.
	SnapshotIndex uint64
	Members       []*masticproto.Member
	// ChangePending reports that the last member change is not yet committed.
	ChangePending bool
	// Peers is what a leader knows of the other members, in the order of Members.
	Peers []PeerStatus
}

// PeerStatus is what a leader knows of another member.
type PeerStatus struct {
	ID    string
	Voter bool
	// Match is the highest index known to be durable on the member.
	Match uint64
	// Storage is the incarnation that the member last answered with.
	Storage string
	// Replaced reports that a voter answers from another incarnation of its data
	// folder: it does not count and has to be demoted and promoted again.
	Replaced bool
	// CaughtUp reports that a learner can be promoted.
	CaughtUp bool
	// Responsive reports an answer within the last election timeout.
	Responsive bool
}
