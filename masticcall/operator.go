package masticcall

import (
	"context"
	"time"

	"masticladder/masticproto"
)

// Published is the answer to an accepted change.
type Published struct {
	Revision uint64 `json:"revision"`
	// InForce reports that every unexpired lease has acknowledged the revision or has run out.
	// When false the change is committed and comes into force within one lease span.
	InForce bool `json:"inForce"`
	// Repeated reports that this is the first answer again, to a change sent twice.
	Repeated bool `json:"repeated"`
}

// UsageTotal is one row of the usage kept by control.
type UsageTotal struct {
	Workspace        string           `json:"workspace"`
	Profile          string           `json:"profile"`
	Model            string           `json:"model"`
	ServerOwner      string           `json:"serverOwner"`
	Requests         int64            `json:"requests"`
	Orders           int64            `json:"orders"`
	InputTokens      int64            `json:"inputTokens"`
	OutputTokens     int64            `json:"outputTokens"`
	CachedTokens     int64            `json:"cachedTokens"`
	RecomputedTokens int64            `json:"recomputedTokens"`
	Refusals         map[string]int64 `json:"refusals"`
}

// ServedTotal is what the backend servers of one owner served of one model, counted apart
// from what workspaces were charged.
type ServedTotal struct {
	ServerOwner  string `json:"serverOwner"`
	Model        string `json:"model"`
	Requests     int64  `json:"requests"`
	InputTokens  int64  `json:"inputTokens"`
	OutputTokens int64  `json:"outputTokens"`
}

// UsageReport is the usage kept by control, on both sides.
type UsageReport struct {
	Charged []UsageTotal  `json:"charged"`
	Served  []ServedTotal `json:"served"`
}

// ControlStatus is what this host knows of control.
type ControlStatus struct {
	Host          string          `json:"host"`
	Leader        string          `json:"leader"`
	Term          uint64          `json:"term"`
	Commit        uint64          `json:"commit"`
	Revision      uint64          `json:"revision"`
	LeaseUntil    time.Time       `json:"leaseUntil"`
	Members       []ControlMember `json:"members"`
	ActiveLeases  int             `json:"activeLeases"`
	StateBytes    int64           `json:"stateBytes"`
	LastCommitted time.Time       `json:"lastCommitted"`
}

// ControlMember is one host that keeps the replicated log.
type ControlMember struct {
	Host    string `json:"host"`
	Voter   bool   `json:"voter"`
	Address string `json:"address"`
	// Storage is the incarnation of a voter's data folder.
	Storage string `json:"storage,omitempty"`
}

// Operator is what operators ask of control, from any host.
type Operator interface {
	// Publish commits change built on revision base. The same requestID with the same
	// change gets the first answer again. Errors: conflict, noQuorum, badRequest.
	Publish(ctx context.Context, requestID string, base uint64, change *masticproto.ViewChange) (Published, error)
	// ChangeMember makes host a learner or voter (which first catches up), or removes it when member is nil.
	ChangeMember(ctx context.Context, host string, member *masticproto.Member) error
	// Usage returns the totals as control knows them.
	Usage(ctx context.Context) (UsageReport, error)
	// Status returns what this host knows of control.
	Status(ctx context.Context) (ControlStatus, error)
}
