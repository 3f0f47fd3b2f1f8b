// Package masticcall defines the interfaces and value types that are shared by the packages
// which process a request.
package masticcall

import (
	"time"

	"masticladder/masticview"
)

// Request describes one request to the dispatcher.
type Request struct {
	ID        string
	Workspace string
	Weight    int64
	Model     string
	Class     masticview.Class
	// Weights is the model whose announced weights versions restrict where the request may run;
	// empty if it may run on any version.
	Weights string
	// Levels are the nested parts of the prompt, outermost first.
	Levels       []Level
	PromptTokens int64
	OutputTokens int64
	Digest       masticview.Digest
	// FirstTokenDeadline is the deadline for the first token, Deadline that for the complete answer.
	FirstTokenDeadline time.Time
	Deadline           time.Time
	// ServerWaitDeadline is the time until which the request waits while no backend server is usable;
	// zero means FirstTokenDeadline.
	ServerWaitDeadline time.Time
	// Avoid lists backend servers that must not be assigned: an earlier attempt failed on them,
	// or they run another suspect.
	Avoid []string
	// Software restricts the backend servers to those that can continue the request's stream.
	Software Software
	// Shard is the number of the shard whose engines may be assigned, zero for any engine.
	Shard int
	// OtherHost reports that another host sends the request: what servers state about the requests of this
	// host does not apply to it.
	OtherHost bool
	// Owner is the workspace whose share the request takes in this host's queue; Workspace if empty. Requests of several owners may
	// share cached prompts, and then have the same Workspace.
	Owner string
	// Priority orders the requests of an owner in this host's queue, the smaller before the larger.
	Priority int64
	// Attempt is the number of the attempt, starting at zero.
	Attempt int
	// Reacquired reports that the dispatcher was asked for a server for this attempt before, and that the
	// server was not used. The retry budget counts an attempt once.
	Reacquired bool
}

// ModelName returns the model by the name under which servers list it. Model may also name the pool.
func (r Request) ModelName() string {
	if r.Weights != "" {
		return r.Weights
	}
	return r.Model
}

// Level is one part of a nested prompt.
type Level struct {
	Role string
	Text string
	// ID identifies the level's content over all models; empty if Text does.
	ID string
	// Tokens is the length of the level if it is known; the level is then treated as a single
	// block. Zero means that the length is estimated from Text.
	Tokens int64
}
