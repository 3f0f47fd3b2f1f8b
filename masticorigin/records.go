// Package masticorigin records which software version of backend servers began the streams that callers may
// take up again. It is a part of the replicated state and performs no I/O.
package masticorigin

import (
	"masticladder/masticcall"
	"masticladder/masticproto"
)

// DefaultMaxRecords bounds the records.
const DefaultMaxRecords = 150_000

// Records holds the versions of streams. A record is dropped when its stream has ended, or with the second
// Rotate after it was last written. It is not safe for concurrent use.
type Records struct {
	current, previous               map[masticcall.StreamKey]record
	currentSenders, previousSenders map[string]sender
	maxRecords                      int
}

// record is the version of a stream and the host that wrote it last.
type record struct{ software, host string }

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
		current: map[masticcall.StreamKey]record{}, previous: map[masticcall.StreamKey]record{},
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
				r.put(k, record{x.GetSoftware(), b.GetHost()})
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

// put writes a record. No record of another stream is dropped for it.
func (r *Records) put(k masticcall.StreamKey, x record) {
	if _, known := r.Find(k); !known && r.Len() >= r.maxRecords {
		return
	}
	delete(r.previous, k)
	r.current[k] = x
}

// end drops a record, unless another host has written it since: its caller has taken the stream up there.
func (r *Records) end(k masticcall.StreamKey, host string) {
	if x, ok := r.get(k); ok && x.host == host {
		delete(r.current, k)
		delete(r.previous, k)
	}
}

// Find returns the recorded version of a stream.
func (r *Records) Find(k masticcall.StreamKey) (string, bool) {
	x, ok := r.get(k)
	return x.software, ok
}

func (r *Records) get(k masticcall.StreamKey) (record, bool) {
	if x, ok := r.current[k]; ok {
		return x, true
	}
	x, ok := r.previous[k]
	return x, ok
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.current) + len(r.previous) }

// Rotate drops the records that were not written since the last Rotate but one.
func (r *Records) Rotate() {
	r.previous, r.current = r.current, map[masticcall.StreamKey]record{}
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
