// Package masticquorum implements consensus as a state machine without input or
// output: a replicated log with pre-vote, check-quorum, a leader lease, learners,
// single-member changes and snapshots. Calls that depend on time take it as an argument.
//
// A Core is not safe for concurrent use; a single goroutine owns it. After each batch
// of calls to Tick, Step and Propose the owner calls Ready, carries out the returned
// work and calls Advance. It calls Tick at NextDeadline.
//
// A voter is identified by its host and the incarnation of the host's data folder
// (its storage). A host that lost the folder returns with a new incarnation: its
// votes and answers do not count until a leader has demoted it to a learner and
// promoted it again.
package masticquorum

import (
	"time"

	"masticladder/masticproto"
)

// Ready is the pending work of a Core. Its owner does it in this order: store HardState,
// Entries and Snapshot durably, send Messages, restore the state machine from Snapshot,
// apply Committed, call Advance.
type Ready struct {
	// HardState is nil if it is unchanged.
	HardState *masticproto.HardState
	// Entries are to be appended to the stored log. An entry replaces the stored entry of
	// the same index and all entries after that one.
	Entries []*masticproto.Entry
	// Snapshot is nil unless a snapshot from the leader replaces the state.
	Snapshot *masticproto.Snapshot
	// Messages are to be sent after HardState, Entries and Snapshot are durable.
	Messages []*masticproto.QuorumMessage
	// Committed are the entries to apply, in order, each once. A proposal is lost if the
	// entry at its index has a term other than the one Propose returned, or if Snapshot
	// covers its index.
	Committed []*masticproto.Entry
	// More reports that further committed entries follow with the next Ready.
	More bool
}

// Status is a copy of a Core's externally visible state.
type Status struct {
	ID      string
	Term    uint64
	Leader  string
	Leading bool
	// LeaseHeld reports that no other leader can exist at the time of the call and that
	// this host has applied all entries committed before its term.
	LeaseHeld bool
	// LeaseUntil is the end of the leader lease as of the call. It is zero unless Leading.
	LeaseUntil time.Time
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	// SnapshotIndex is the index of the last entry that the latest snapshot covers.
	SnapshotIndex uint64
	Members       []*masticproto.Member
	// Voter reports that this host is a voter with its present storage. A host whose storage was replaced is listed as a
	// voter until the leader demotes it, but its vote does not count.
	Voter bool
	// ChangePending reports that the latest member change is not yet committed.
	ChangePending bool
	// Peers describes the other members, in the order of Members. It is empty unless Leading.
	Peers []PeerStatus
}

// PeerStatus is a leader's view of another member.
type PeerStatus struct {
	ID    string
	Voter bool
	// Match is the highest index known to be durable on the member.
	Match uint64
	// StorageIncarnation is the storage incarnation in the member's latest answer.
	StorageIncarnation string
	// StorageReplaced reports that a voter answers from another storage incarnation than the
	// member list has for it. It does not count towards a quorum until it is demoted and
	// promoted again.
	StorageReplaced bool
	// CaughtUp reports that the member is a learner that can be promoted.
	CaughtUp bool
	// Responsive reports that the member answered a heartbeat round which was sent within
	// the last election timeout.
	Responsive bool
	// AnsweredAt is when the member last answered this leader, or one before it as far as that is known. Late answers
	// count as well.
	AnsweredAt time.Time
}
