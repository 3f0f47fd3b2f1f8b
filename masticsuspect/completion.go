package masticsuspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticladder/masticproto"
	"masticladder/masticview"
)

const (
	// completionTTL is how long the completion of a request speaks for its other copies. Those that hang on a server fail
	// within the time of their callers.
	completionTTL = 30 * time.Second
	// maxCompletions bounds the remembered completions; the oldest are dropped first.
	maxCompletions = 4096
)

// completions hold when requests were last reported to have completed, in Unix milliseconds. A copy of such a request that was
// sent before, and hangs on a server until that ends, did not end it.
type completions struct {
	at map[masticview.Digest]int64
	// queue orders them by age.
	queue *expiryQueue[masticview.Digest]
}

func newCompletions() completions {
	return completions{at: map[masticview.Digest]int64{}, queue: newExpiryQueue(masticview.Digest.Compare)}
}

func (c completions) add(now time.Time, d masticview.Digest, visited *int) {
	if d == (masticview.Digest{}) {
		return
	}
	c.put(d, now.UnixMilli())
	if len(c.at) <= maxCompletions {
		return
	}
	for range maxCompletions / 8 {
		if o, ok := c.queue.takeFirst(c.completedAt, visited); ok {
			delete(c.at, o)
		}
	}
}

func (c completions) put(d masticview.Digest, unixMs int64) {
	before, ok := c.at[d]
	c.at[d] = unixMs
	if !ok || unixMs < before {
		c.queue.add(unixMs, d)
		c.queue.compact(len(c.at), maps.All(c.at))
	}
}

// completedAt returns when the request was last reported to have completed.
func (c completions) completedAt(d masticview.Digest) (int64, bool) {
	at, ok := c.at[d]
	return at, ok
}

// since reports whether the request completed at or after a time.
func (c completions) since(d masticview.Digest, unixMs int64) bool {
	at, ok := c.at[d]
	return ok && at >= unixMs
}

func (c completions) expire(now time.Time, visited *int) {
	for {
		d, ok := c.queue.takeDue(now.UnixMilli()-completionTTL.Milliseconds(), c.completedAt, visited)
		if !ok {
			return
		}
		delete(c.at, d)
	}
}

func (c completions) oldestFirst() []masticview.Digest {
	return slices.SortedFunc(maps.Keys(c.at), func(a, b masticview.Digest) int { return cmp.Or(cmp.Compare(c.at[a], c.at[b]), a.Compare(b)) })
}

func (c completions) snapshot() []*masticproto.CompletedRequest {
	var out []*masticproto.CompletedRequest
	for _, d := range c.oldestFirst() {
		out = append(out, &masticproto.CompletedRequest{Digest: d[:], AtUnixMs: c.at[d]})
	}
	return out
}

func (c completions) restore(from *masticproto.SuspectSnapshot) error {
	for _, x := range from.GetCompleted() {
		d, err := masticview.DigestFromBytes(x.GetDigest())
		if err != nil {
			return err
		}
		c.put(d, x.GetAtUnixMs())
	}
	return nil
}
