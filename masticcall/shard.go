package masticcall

import (
	"context"
	"time"
)

// ShardRequest asks the coordinator of a shard to assign one of its engines. Host and ID identify the
// assignment.
type ShardRequest struct {
	Host    string
	ID      uint64
	Request Request
}

// ShardAssignment is the answer of a coordinator.
type ShardAssignment struct {
	// Server is the name of the engine, empty if the shard cannot take the request now.
	Server, Incarnation, WeightsVersion string
	FetchAddress, SaveAddress           string
	CachedTokens                        int64
	// Wait and Prefill add up to the predicted time to the first token.
	Wait, Prefill time.Duration
	// Busy reports that the coordinator has too many questions and has not looked at this one.
	Busy bool
	// Candidates lists the evaluated engines for the log.
	Candidates string
}

// ShardUpdate reports the first token, or with Done the end, of an assigned request.
type ShardUpdate struct {
	Host   string
	ID     uint64
	Done   bool
	Result Result
}

// Coordinators are the hosts that coordinate shards, by their peer addresses.
type Coordinators interface {
	// Assign asks a coordinator. An error means that it gave no answer. If the error is of kind overloaded, the
	// coordinator is late; otherwise it is out of reach.
	Assign(ctx context.Context, peer string, q ShardRequest) (ShardAssignment, error)
	// Update reports to a coordinator. It does not block; a lost update is replaced by the deadline of the
	// request.
	Update(peer string, u ShardUpdate)
}
