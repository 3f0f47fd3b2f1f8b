package masticquota

import (
	"maps"
	"math"
	"slices"
	"time"

	"masticladder/masticproto"
)

const (
	// maxCheckpointWorkspaces limits the workspaces of one checkpoint.
	maxCheckpointWorkspaces = 256
	// checkpointInterval is the least time between two bounds of a workspace, unless a bound
	// blocks a need.
	checkpointInterval = 5 * time.Second
	// checkpointResendTimeout is the time after which an unconfirmed checkpoint is proposed again.
	checkpointResendTimeout = 500 * time.Millisecond
)

// Checkpoint returns a checkpoint to commit, or nil. Until its commit is confirmed, the owner
// stays within the lower of its bound and the last committed bound of each workspace. An
// unconfirmed checkpoint is returned again after checkpointResendTimeout.
func (o *Owner) Checkpoint(now time.Time) *masticproto.QuotaCheckpoint {
	if o.pendingCheckpoint != nil {
		if now.Sub(o.pendingSentAt) < checkpointResendTimeout {
			return nil
		}
		o.pendingSentAt = now
		return o.pendingCheckpoint
	}
	c := &masticproto.QuotaCheckpoint{Term: o.term}
	for _, name := range slices.Sorted(maps.Keys(o.buckets)) {
		if len(c.Levels) == maxCheckpointWorkspaces {
			break
		}
		b, ok := o.bucket(now, name)
		if !ok {
			continue
		}
		if bound, ok := b.nextBound(now); ok {
			b.proposedBound = bound
			b.proposedAt = now
			c.Levels = append(c.Levels, &masticproto.QuotaLevel{Workspace: name, UsedTokens: bound})
		}
	}
	if len(c.Levels) == 0 {
		return nil
	}
	o.checkpointSequence++
	c.Sequence = o.checkpointSequence
	o.pendingCheckpoint, o.pendingSentAt = c, now
	return c
}

// Committed confirms that the checkpoint with the given term and sequence was applied. Any
// other than the pending checkpoint is ignored.
func (o *Owner) Committed(term, sequence uint64) {
	if o.pendingCheckpoint == nil || term != o.term || sequence != o.pendingCheckpoint.GetSequence() {
		return
	}
	for _, l := range o.pendingCheckpoint.GetLevels() {
		if b, ok := o.buckets[l.GetWorkspace()]; ok {
			b.committedBound = l.GetUsedTokens()
			b.proposedBound = math.MaxInt64
		}
	}
	o.pendingCheckpoint = nil
}

// nextBound returns a new bound and whether to propose it. The bound covers the tokens used, a
// blocked need and half of what is then free; a later owner can grant the other half at once.
func (b *bucket) nextBound(now time.Time) (int64, bool) {
	used := b.usedTokens()
	need := min(b.blockedNeed, max(0, b.freeTokens()))
	bound := used + need + (b.limit.BurstTokens-used-need)/2
	if bound < used {
		return 0, false
	}
	if b.blockedNeed > 0 {
		b.blockedNeed = 0
		return bound, bound > b.committedBound
	}
	if !b.proposedAt.IsZero() && now.Sub(b.proposedAt) < checkpointInterval {
		return 0, false
	}
	significant := b.committedBound == math.MaxInt64 || max(b.committedBound-bound, bound-b.committedBound) > b.limit.BurstTokens/4
	return bound, significant
}
