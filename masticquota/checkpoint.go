package masticquota

import (
	"maps"
	"math"
	"slices"
	"time"

	"masticladder/masticproto"
)

const (
	// maxCheckpointLevels bounds the workspaces of one checkpoint.
	maxCheckpointLevels = 256
	// checkpointEvery is how often an unblocked promise may change.
	checkpointEvery = 5 * time.Second
	// checkpointResend is after how long an unanswered checkpoint is proposed again.
	checkpointResend = 500 * time.Millisecond
)

// Checkpoint returns a checkpoint to commit, or nil. Until it is known to be committed the
// owner keeps both to it and to the one before. An unanswered checkpoint is returned again.
func (o *Owner) Checkpoint(now time.Time) *masticproto.QuotaCheckpoint {
	if o.pending != nil {
		if now.Sub(o.sent) < checkpointResend {
			return nil
		}
		o.sent = now
		return o.pending
	}
	c := &masticproto.QuotaCheckpoint{Term: o.term}
	for _, name := range slices.Sorted(maps.Keys(o.buckets)) {
		if len(c.Levels) == maxCheckpointLevels {
			break
		}
		b, ok := o.bucket(now, name)
		if !ok {
			continue
		}
		if bound, ok := b.nextPromise(now); ok {
			b.proposed = bound
			b.changed = now
			c.Levels = append(c.Levels, &masticproto.QuotaLevel{Workspace: name, UsedTokens: bound})
		}
	}
	if len(c.Levels) == 0 {
		return nil
	}
	o.sequence++
	c.Sequence = o.sequence
	o.pending, o.sent = c, now
	return c
}

// Committed notes that the checkpoint with the given term and sequence was applied.
func (o *Owner) Committed(term, sequence uint64) {
	if o.pending == nil || term != o.term || sequence != o.pending.GetSequence() {
		return
	}
	for _, l := range o.pending.GetLevels() {
		if b, ok := o.buckets[l.GetWorkspace()]; ok {
			b.promise = l.GetUsedTokens()
			b.proposed = math.MaxInt64
		}
	}
	o.pending = nil
}

// nextPromise returns a better bound than the present one: half of what is free stays for
// a later owner, and a blocked need is met.
func (b *bucket) nextPromise(now time.Time) (int64, bool) {
	used := b.used()
	need := min(b.blocked, max(0, b.free()))
	bound := used + need + (b.limit.BurstTokens-used-need)/2
	if bound < used {
		return 0, false
	}
	if b.blocked > 0 {
		b.blocked = 0
		return bound, bound > b.promise
	}
	if !b.changed.IsZero() && now.Sub(b.changed) < checkpointEvery {
		return 0, false
	}
	far := b.promise == math.MaxInt64 || max(b.promise-bound, bound-b.promise) > b.limit.BurstTokens/4
	return bound, far
}
