// Package masticorigin records which software version of backend servers began the streams that callers may
// take up again. It is a part of the replicated state and performs no I/O.
package masticorigin

import (
	"masticladder/masticcall"
	"masticladder/masticproto"
)

// DefaultMaxRecords bounds the records. A record takes about 60 bytes.
const DefaultMaxRecords = 1 << 17

// Records holds the versions of streams. A record is dropped when its stream has ended, or with the second
// Rotate after it was last written. It is not safe for concurrent use.
type Records struct {
	current, previous               map[masticcall.StreamKey]string
	currentSenders, previousSenders map[string]sender
	maxRecords                      int
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
		current: map[masticcall.StreamKey]string{}, previous: map[masticcall.StreamKey]string{},
		currentSenders: map[string]sender{}, previousSenders: map[string]sender{}, maxRecords: DefaultMaxRecords,
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
	if r.counts(b) {
		for _, x := range b.GetBegun() {
			for k := range keys(x.GetKeys()) {
				r.put(k, x.GetSoftware())
			}
		}
		for k := range keys(b.GetEnded()) {
			delete(r.current, k)
			delete(r.previous, k)
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

// put writes a record. No record of another stream is dropped for it.
func (r *Records) put(k masticcall.StreamKey, software string) {
	_, known := r.Find(k)
	if !known && r.Len() >= r.maxRecords {
		return
	}
	delete(r.previous, k)
	r.current[k] = software
}

// Find returns the recorded version of a stream.
func (r *Records) Find(k masticcall.StreamKey) (string, bool) {
	if software, ok := r.current[k]; ok {
		return software, true
	}
	software, ok := r.previous[k]
	return software, ok
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.current) + len(r.previous) }

// Rotate drops the records that were not written since the last Rotate but one.
func (r *Records) Rotate() {
	r.previous, r.current = r.current, map[masticcall.StreamKey]string{}
	r.previousSenders, r.currentSenders = r.currentSenders, map[string]sender{}
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
