package masticcall

import (
	"context"
	"time"

	"masticladder/masticproto"
)

// PublishResult is the result of an accepted change.
type PublishResult struct {
	Revision uint64 `json:"revision"`
	// InForce reports that every host with a view lease has acknowledged the revision, or its
	// lease has expired. When false, the change is committed and takes effect within one lease
	// duration.
	InForce bool `json:"inForce"`
	// Repeated reports that the change was sent before and this is its stored first result.
	Repeated bool `json:"repeated"`
}

// UsageTotal is one row of the usage totals that the control group stores. Refusals
// counts refused requests by error kind.
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

// ServedTotal is the usage that the backend servers of one owner served for one model. It is
// counted separately from the usage charged to workspaces.
type ServedTotal struct {
	ServerOwner  string `json:"serverOwner"`
	Model        string `json:"model"`
	Requests     int64  `json:"requests"`
	InputTokens  int64  `json:"inputTokens"`
	OutputTokens int64  `json:"outputTokens"`
}

// UsageReport is the usage that the control group stores: charged to workspaces, and served
// by the owners of backend servers.
type UsageReport struct {
	Charged []UsageTotal  `json:"charged"`
	Served  []ServedTotal `json:"served"`
}

// ControlStatus is the state of the control group as this host knows it.
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

// ControlMember is one host that stores a replica of the log.
type ControlMember struct {
	Host    string `json:"host"`
	Voter   bool   `json:"voter"`
	Address string `json:"address"`
	// Storage is the incarnation of a voter's data folder.
	Storage string `json:"storage,omitempty"`
}

// Operator provides the control group's operations for operators, on any host.
type Operator interface {
	// Publish commits a change that is based on revision base. Repeating a change with the
	// same requestID returns the first result again. Error kinds: conflict, noQuorum,
	// badRequest.
	Publish(ctx context.Context, requestID string, base uint64, change *masticproto.ViewChange) (PublishResult, error)
	// ChangeMember makes host a learner or a voter, or removes it when member is nil. A new
	// voter catches up with the log first.
	ChangeMember(ctx context.Context, host string, member *masticproto.Member) error
	// Usage returns the usage totals stored by the control group.
	Usage(ctx context.Context) (UsageReport, error)
	// Status returns the state of the control group as this host knows it.
	Status(ctx context.Context) (ControlStatus, error)
}
