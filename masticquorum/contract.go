// Package masticquorum is a consensus core without input or output: a replicated
// log with pre-vote, check-quorum, a leader lease, learners, one member change at
// a time and snapshots. Time is an argument of each call.
package masticquorum

import (
	"masticladder/masticproto"
)

// Ready is what the owner of a Core has to do, in this order: store HardState,
// Entries and Snapshot durably, send Messages, apply Committed, then call Advance.
type Ready struct {
	// HardState is nil when it has not changed.
	HardState *masticproto.HardState
	// Entries are to be appended; an entry replaces a stored one of the same index and all after it.
	Entries []*masticproto.Entry
	// Snapshot is nil unless the state was replaced by the leader's snapshot.
	Snapshot *masticproto.Snapshot
	// Messages are to be sent after the above is durable.
	Messages []*masticproto.QuorumMessage
	// Committed are the entries to apply, in order, each once.
	Committed []*masticproto.Entry
}

// Status is a copy of what a Core knows of itself.
type Status struct {
	ID      string
	Term    uint64
	Leader  string
	Leading bool
	// LeaseHeld reports that no other leader can exist at the time of the call.
	LeaseHeld bool
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	Members   []*masticproto.Member
}
