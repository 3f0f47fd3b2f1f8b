package masticstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"masticladder/masticerror"
	"masticladder/masticledger"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// Bounds of the publish history.
const (
	// MaxPublishRecords bounds the recorded results; the oldest are evicted first.
	MaxPublishRecords = 4096
	// PublishRetention is how long a result is recorded.
	PublishRetention = 7 * 24 * time.Hour
	// MaxPublishTombstones bounds the records and tombstones together; at the limit, new
	// request identifiers without a timestamp need a base revision.
	MaxPublishTombstones = 65_536
	// MaxRequestIDBytes bounds a request identifier.
	MaxRequestIDBytes = 128
)

// publishHistory records the results of publishes, to make them idempotent.
//
// It follows KIP-360 for InitProducerId: a change based on the current revision is applied,
// a change with a recorded request identifier returns its first result again, and any other
// change is rejected with conflict. KIP-360 records one previous epoch per producer; here the
// results of many request identifiers are recorded, because several operators publish
// concurrently, each under its own identifiers.
//
// A change whose record has expired is never applied again. If it has a base revision, the
// current revision is past that base. Otherwise a UUIDv7 or ULID up to the horizon of the
// expired identifiers is rejected, and every other identifier leaves a tombstone; at
// MaxPublishTombstones, a change without a base revision needs an identifier with an
// embedded timestamp.
type publishHistory struct {
	records map[string]*masticproto.PublishRecord
	// oldestFirst contains the identifiers of all records in the order of their addition.
	oldestFirst []string
	expired     masticledger.ExpiredKeys
}

func newPublishHistory() publishHistory {
	return publishHistory{records: make(map[string]*masticproto.PublishRecord)}
}

// publish applies an operator's change, or returns the recorded result of the first Publish
// with the same request identifier.
func (s *State) publish(p *masticproto.Publish) PublishResult {
	id := p.GetRequestId()
	if id == "" || len(id) > MaxRequestIDBytes {
		return s.rejectPublish(masticerror.KindBadRequest, "a request identifier has 1 to %d bytes", MaxRequestIDBytes)
	}
	digest := publishDigest(p)
	if r, ok := s.publishes.records[id]; ok {
		return s.replayResult(r, digest)
	}
	if base := p.GetBaseRevision(); base != 0 && base < s.view.Revision() {
		return s.rejectPublish(masticerror.KindConflict, "the change was built on revision %d, the current one is %d", base, s.view.Revision())
	}
	if p.GetBaseRevision() == 0 && s.publishes.mayBeExpired(id, s.now) {
		return s.rejectPublish(masticerror.KindConflict,
			"the identifier cannot be told from a forgotten one; state the base revision or send a new UUIDv7")
	}
	out := s.applyPublish(p)
	s.publishes.record(s.now, p, digest, out)
	return out
}

// applyPublish applies a change whose identifier is new.
func (s *State) applyPublish(p *masticproto.Publish) PublishResult {
	if p.GetBaseRevision() > s.view.Revision() {
		return s.rejectPublish(masticerror.KindBadRequest, "there is no revision %d yet", p.GetBaseRevision())
	}
	if err := s.applyChange(p.GetChange()); err != nil {
		return PublishResult{Revision: s.view.Revision(), Err: err}
	}
	s.suspects.Clear(p.GetChange().GetEndedQuarantines())
	result := PublishResult{Revision: s.view.Revision()}
	if c := p.GetChange(); len(c.GetServers())+len(c.GetRemovedServers()) > 0 {
		s.confirmUnlisted()
	}
	return result
}

func (s *State) rejectPublish(k masticerror.Kind, format string, args ...any) PublishResult {
	return PublishResult{Revision: s.view.Revision(), Err: masticerror.New(k, format, args...)}
}

// replayResult returns the recorded result r again, or a conflict if the content differs.
func (s *State) replayResult(r *masticproto.PublishRecord, digest masticview.Digest) PublishResult {
	if !bytes.Equal(r.GetContentDigest(), digest[:]) {
		return s.rejectPublish(masticerror.KindConflict, "the request identifier stands for another change")
	}
	out := PublishResult{Revision: r.GetRevision(), Repeated: true}
	if r.GetErrorKind() != "" {
		out.Err = masticerror.New(masticerror.Kind(r.GetErrorKind()), "%s", r.GetErrorMessage())
	}
	return out
}

// publishDigest returns the digest of the base revision and the change of p.
func publishDigest(p *masticproto.Publish) masticview.Digest {
	content := &masticproto.Publish{BaseRevision: p.GetBaseRevision(), Change: p.GetChange()}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return masticview.Digest{}
	}
	return masticview.DigestOf(b)
}

// mayBeExpired reports whether id may be a request identifier whose record has expired.
func (p *publishHistory) mayBeExpired(id string, now time.Time) bool {
	requestIDMs := requestIDMillis(id, now)
	return p.expired.MayContain(requestIDDigest(id), requestIDMs) ||
		(requestIDMs == 0 && len(p.records)+p.expired.TombstoneCount() >= MaxPublishTombstones)
}

func (p *publishHistory) record(now time.Time, c *masticproto.Publish, digest masticview.Digest, r PublishResult) {
	id := c.GetRequestId()
	record := &masticproto.PublishRecord{
		RequestId: id, ContentDigest: digest[:], Revision: r.Revision,
		RetainUntilUnixMs: now.Add(PublishRetention).UnixMilli(), IdentifierUnixMs: requestIDMillis(id, now),
		Based: c.GetBaseRevision() != 0,
	}
	if r.Err != nil {
		e := masticerror.From(r.Err)
		record.ErrorKind, record.ErrorMessage = string(e.Kind()), e.Message()
	}
	p.records[id] = record
	p.oldestFirst = append(p.oldestFirst, id)
	for len(p.oldestFirst) > MaxPublishRecords {
		p.evictOldest()
	}
}

func (p *publishHistory) evictOldest() {
	id := p.oldestFirst[0]
	p.oldestFirst = p.oldestFirst[1:]
	p.markExpired(p.records[id])
	delete(p.records, id)
}

// markExpired adds the identifier of r to the expired ones. With a base revision this is
// not needed, because the base revision prevents the change from being applied again.
func (p *publishHistory) markExpired(r *masticproto.PublishRecord) {
	if !r.GetBased() {
		p.expired.Add(requestIDDigest(r.GetRequestId()), r.GetIdentifierUnixMs())
	}
}

// expire removes the records whose retention deadline has passed.
func (p *publishHistory) expire(now time.Time) {
	for len(p.oldestFirst) > 0 && p.records[p.oldestFirst[0]].GetRetainUntilUnixMs() <= now.UnixMilli() {
		p.evictOldest()
	}
}

// requestIDMillis returns the timestamp embedded in id in Unix milliseconds, or zero if
// there is none.
func requestIDMillis(id string, now time.Time) int64 {
	t, ok := masticledger.KeyTime(id, now)
	if !ok {
		return 0
	}
	return t.UnixMilli()
}

func requestIDDigest(id string) uint64 {
	d := sha256.Sum256([]byte(id))
	return binary.BigEndian.Uint64(d[:])
}

func (p *publishHistory) save() []*masticproto.PublishRecord {
	out := make([]*masticproto.PublishRecord, 0, len(p.oldestFirst))
	for _, id := range p.oldestFirst {
		out = append(out, p.records[id])
	}
	return out
}

func (p *publishHistory) restore(records []*masticproto.PublishRecord) {
	for _, r := range records {
		p.records[r.GetRequestId()] = r
		p.oldestFirst = append(p.oldestFirst, r.GetRequestId())
	}
}
