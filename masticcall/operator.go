package masticcall

import (
	"context"
	"time"

	"masticladder/masticproto"
)

// Published is the answer to an accepted change.
type Published struct {
	Revision uint64
	// InForce reports that every unexpired lease has acknowledged the revision or has run out.
	// When false the change is committed and comes into force within one lease span.
	InForce bool
	// Repeated reports that this is the first answer again, to a change sent twice.
	Repeated bool
}

// UsageTotal is one row of the usage kept by control.
type UsageTotal struct {
	Workspace, Profile, Model, ServerOwner string
	Requests, Orders                       int64
	InputTokens, OutputTokens              int64
	CachedTokens, RecomputedTokens         int64
	Refusals                               map[string]int64
}

// ControlStatus is what this host knows of control.
type ControlStatus struct {
	Host          string
	Leader        string
	Term          uint64
	Commit        uint64
	Revision      uint64
	LeaseUntil    time.Time
	Members       []ControlMember
	ActiveLeases  int
	StateBytes    int64
	LastCommitted time.Time
}

// ControlMember is one host that keeps the replicated log.
type ControlMember struct {
	Host    string
	Voter   bool
	Address string
}

// Operator is what operators ask of control, from any host.
type Operator interface {
	// Publish commits change built on revision base. The same requestID with the same
	// change gets the first answer again. Errors: conflict, noQuorum, badRequest.
	Publish(ctx context.Context, requestID string, base uint64, change *masticproto.ViewChange) (Published, error)
	// ChangeMember makes host a learner or voter (which first catches up), or removes it when member is nil.
	ChangeMember(ctx context.Context, host string, member *masticproto.Member) error
	// Usage returns the totals as control knows them.
	Usage(ctx context.Context) ([]UsageTotal, error)
	// Status returns what this host knows of control.
	Status(ctx context.Context) (ControlStatus, error)
}
