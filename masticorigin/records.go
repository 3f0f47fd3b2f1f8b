// Package masticorigin records which software version of backend servers began the streams that callers may
// take up again. It is a part of the replicated state and performs no I/O.
package masticorigin

import (
	"time"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

// DefaultMaxRecords bounds the records.
const DefaultMaxRecords = 150_000

// DefaultLifetime is how long a record lasts whose host does not state a lifetime.
const DefaultLifetime = 2 * time.Minute

// Records holds the versions of streams for as long as callers may take them up, on a clock that the commands of the log advance. The
// clock is never ahead of the time that has passed, so that no record is dropped early, whatever leads or restarts. It is not safe for
// concurrent use.
type Records struct {
	records map[masticcall.StreamKey]record
	// expiring holds the keys of records by the second of the clock in which they expire. A record that was extended is in several.
	expiring                        map[int64][]masticcall.StreamKey
	currentSenders, previousSenders map[string]sender
	maxRecords                      int
	clock                           time.Duration
	versions                        versions
}

// record is the version of a stream and the host that wrote it last.
type record struct {
	software, host string
	// expiresAt is the second of the clock in which it is dropped.
	expiresAt int64
}

// sender is the oldest batch of a host that still counts.
type sender struct {
	incarnation string
	oldest      uint64
}

// Option sets one property of Records.
type Option func(*Records)

// WithMaxRecords bounds the records.
func WithMaxRecords(n int) Option { return func(r *Records) { r.maxRecords = n } }

// New returns empty Records.
func New(options ...Option) *Records {
	r := &Records{
		records: map[masticcall.StreamKey]record{}, expiring: map[int64][]masticcall.StreamKey{},
		currentSenders: map[string]sender{}, previousSenders: map[string]sender{}, maxRecords: DefaultMaxRecords,
		versions: versions{services: map[string]serviceVersions{}},
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Apply applies a batch of a host and returns the keys of the begun streams that are not recorded: the records
// are full, or the host no longer waits for the batch. Batches of a host may arrive in any order; no two that it
// waits for at the same time have a key in common.
func (r *Records) Apply(b *masticproto.StreamOrigins) []masticcall.StreamKey {
	r.advance(b.GetElapsedUs())
	if r.counts(b) {
		for _, x := range b.GetBegun() {
			n := 0
			for k := range keys(x.GetKeys()) {
				r.put(k, record{x.GetSoftware(), b.GetHost(), r.expiry(x.GetLifetimesMs(), n)})
				n++
			}
		}
		for k := range keys(b.GetEnded()) {
			r.end(k, b.GetHost())
		}
	}
	var unrecorded []masticcall.StreamKey
	for _, x := range b.GetBegun() {
		for k := range keys(x.GetKeys()) {
			if software, ok := r.Find(k); !ok || software != x.GetSoftware() {
				unrecorded = append(unrecorded, k)
			}
		}
	}
	return unrecorded
}

// counts reports whether the host still waits for the batch, and stores which ones it does not.
func (r *Records) counts(b *masticproto.StreamOrigins) bool {
	last, ok := r.currentSenders[b.GetHost()]
	if !ok {
		last = r.previousSenders[b.GetHost()]
	}
	if last.incarnation != b.GetIncarnation() {
		last = sender{incarnation: b.GetIncarnation()}
	}
	if b.GetSequence() < last.oldest {
		return false
	}
	last.oldest = max(last.oldest, b.GetOldest())
	r.currentSenders[b.GetHost()] = last
	return true
}

// put writes a record. It lasts at least as long as the one that it replaces. No record of another stream is dropped for it.
func (r *Records) put(k masticcall.StreamKey, x record) {
	old, known := r.records[k]
	if !known && r.Len() >= r.maxRecords {
		return
	}
	x.expiresAt = max(x.expiresAt, old.expiresAt)
	r.records[k] = x
	if x.expiresAt != old.expiresAt {
		r.expiring[x.expiresAt] = append(r.expiring[x.expiresAt], k)
	}
}

// end drops a record, unless another host has written it since: its caller has taken the stream up there.
func (r *Records) end(k masticcall.StreamKey, host string) {
	if x, ok := r.records[k]; ok && x.host == host {
		delete(r.records, k)
	}
}

// Find returns the recorded version of a stream.
func (r *Records) Find(k masticcall.StreamKey) (string, bool) {
	x, ok := r.records[k]
	return x.software, ok
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.records) }

// Tick advances the clock by some microseconds and drops the senders that have sent nothing since the last Tick but one.
func (r *Records) Tick(elapsedUs int64) {
	r.advance(elapsedUs)
	r.previousSenders, r.currentSenders = r.currentSenders, map[string]sender{}
}

const msPerSecond = 1000

func (r *Records) nowMs() int64 { return r.clock.Milliseconds() }

func (r *Records) second() int64 { return r.nowMs() / msPerSecond }

// expiry returns when the record of the nth key of a group expires: in the first second of the clock that begins after its lifetime.
func (r *Records) expiry(lifetimesMs []uint32, n int) int64 {
	lifetime := DefaultLifetime.Milliseconds()
	if n < len(lifetimesMs) {
		lifetime = int64(lifetimesMs[n])
	}
	return (r.nowMs()+lifetime)/msPerSecond + 1
}

// advance advances the clock and drops the records that have expired.
func (r *Records) advance(elapsedUs int64) {
	before := r.second()
	r.clock += time.Duration(max(0, elapsedUs)) * time.Microsecond
	if r.second() == before {
		return
	}
	for second, all := range r.expiring {
		if second > r.second() {
			continue
		}
		for _, k := range all {
			if x, ok := r.records[k]; ok && x.expiresAt <= r.second() {
				delete(r.records, k)
			}
		}
		delete(r.expiring, second)
	}
}

// keys yields the keys that are stored one after the other. A rest that is no key is left out.
func keys(b []byte) func(yield func(masticcall.StreamKey) bool) {
	const size = len(masticcall.StreamKey{})
	return func(yield func(masticcall.StreamKey) bool) {
		for ; len(b) >= size; b = b[size:] {
			if !yield(masticcall.StreamKey(b[:size])) {
				return
			}
		}
	}
}
