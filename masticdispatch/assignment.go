package masticdispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"masticladder/masticcall"
	"masticladder/masticschedule"
	"masticladder/masticview"
)

// saltBytes is the length of a cache salt before hexadecimal encoding.
const saltBytes = 16

// assignment implements masticcall.Assignment.
type assignment struct {
	dispatcher *Dispatcher
	outcome    masticschedule.Outcome
	workspace  string
	class      masticview.Class
	// coordinator is the peer address of the host that assigned the engine, empty for this host; shardID is
	// its name of the assignment.
	coordinator string
	shardID     uint64
}

func (d *Dispatcher) assignment(o masticschedule.Outcome, workspace string, c masticview.Class) *assignment {
	return &assignment{dispatcher: d, outcome: o, workspace: workspace, class: c}
}

func (a *assignment) Server() masticview.Server { return a.outcome.Server }

// Priority returns the engine's priority; a smaller one is more urgent.
func (a *assignment) Priority() int { return masticschedule.Priority(a.class) }

// CachedTokens returns the expected number of cached prompt tokens.
func (a *assignment) CachedTokens() int64 { return int64(a.outcome.Decision.Cached) }

// CacheSalt returns the salt that separates the engine's cache entries by workspace.
func (a *assignment) CacheSalt() string {
	sum := sha256.Sum256([]byte("cacheSalt\x00" + a.workspace))
	return hex.EncodeToString(sum[:saltBytes])
}

// FetchAddress returns the address from which the server should fetch cached parts of the prompt.
func (a *assignment) FetchAddress() string { return a.outcome.Decision.Fetch }

// SaveAddress returns the address of the store to which the server should save the parts of the
// prompt.
func (a *assignment) SaveAddress() string { return a.outcome.Decision.Save }

// FirstToken records when the first token arrived.
func (a *assignment) FirstToken(now time.Time) {
	a.dispatcher.send(&firstToken{a.outcome.Ticket, now})
	a.dispatcher.takeover.start(a.outcome.Ticket)
	a.report(masticcall.ShardUpdate{})
}

// Done records how the attempt ended.
func (a *assignment) Done(now time.Time, r masticcall.Result) {
	a.dispatcher.send(&done{a.outcome.Ticket, now, r})
	a.dispatcher.takeover.remove(a.outcome.Ticket)
	a.report(masticcall.ShardUpdate{Done: true, Result: r})
}

// report passes an update on to the coordinator that assigned the engine.
func (a *assignment) report(u masticcall.ShardUpdate) {
	if a.coordinator == "" {
		return
	}
	u.Host, u.ID = a.dispatcher.host, a.shardID
	a.dispatcher.sharding.coordinators.Update(a.coordinator, u)
}
