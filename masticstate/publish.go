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

// Bounds of the remembered publishes.
const (
	// MaxPublishes bounds the remembered answers; the oldest make room.
	MaxPublishes = 4096
	// PublishRetention is for how long an answer is remembered.
	PublishRetention = 7 * 24 * time.Hour
	// MaxPublishTombstones bounds the forgotten identifiers that bear no time.
	MaxPublishTombstones = 65_536
	// MaxRequestIDBytes bounds a request identifier.
	MaxRequestIDBytes = 128
)

// publishes remembers the answers to publishes.
//
// The rule is that of KIP-360 for InitProducerId: a change built on the current revision
// is applied, one whose identifier is remembered gets its first answer again, and any other
// is fenced by a conflict. KIP-360 remembers one former epoch for each producer; here
// operators race under several identifiers, so that many answers are remembered.
//
// An identifier that was forgotten never runs as new. With a base revision it cannot: the
// revision has grown past that base. Without one, a UUIDv7 or ULID from before the horizon
// of forgotten ones is refused, and any other identifier leaves a tombstone; when these are
// full, a change without a base revision needs an identifier that bears its time.
type publishes struct {
	records map[string]*masticproto.PublishRecord
	// order holds the identifiers, the oldest first.
	order []string
	ages  masticledger.ExpiredKeys
}

func newPublishes() publishes {
	return publishes{records: make(map[string]*masticproto.PublishRecord)}
}

// publish applies one operator's change.
func (s *State) publish(p *masticproto.Publish) PublishResult {
	id := p.GetRequestId()
	if id == "" || len(id) > MaxRequestIDBytes {
		return s.rejected(masticerror.KindBadRequest, "a request identifier has 1 to %d bytes", MaxRequestIDBytes)
	}
	digest := publishDigest(p)
	if r, ok := s.publishes.records[id]; ok {
		return s.firstAnswer(r, digest)
	}
	if base := p.GetBaseRevision(); base != 0 && base < s.view.Revision() {
		return s.rejected(masticerror.KindConflict, "the change was built on revision %d, the current one is %d", base, s.view.Revision())
	}
	if p.GetBaseRevision() == 0 && s.publishes.forgotten(id, s.now) {
		return s.rejected(masticerror.KindConflict,
			"the identifier cannot be told from a forgotten one; state the base revision or send a new UUIDv7")
	}
	out := s.firstPublish(p)
	s.publishes.remember(s.now, p, digest, out)
	return out
}

func (s *State) firstPublish(p *masticproto.Publish) PublishResult {
	if p.GetBaseRevision() > s.view.Revision() {
		return s.rejected(masticerror.KindBadRequest, "there is no revision %d yet", p.GetBaseRevision())
	}
	if err := s.change(p.GetChange()); err != nil {
		return PublishResult{Revision: s.view.Revision(), Err: err}
	}
	return PublishResult{Revision: s.view.Revision()}
}

func (s *State) rejected(k masticerror.Kind, format string, args ...any) PublishResult {
	return PublishResult{Revision: s.view.Revision(), Err: masticerror.New(k, format, args...)}
}

// firstAnswer repeats the answer of r, unless the content is another.
func (s *State) firstAnswer(r *masticproto.PublishRecord, digest masticview.Digest) PublishResult {
	if !bytes.Equal(r.GetContentDigest(), digest[:]) {
		return s.rejected(masticerror.KindConflict, "the request identifier stands for another change")
	}
	out := PublishResult{Revision: r.GetRevision(), Repeated: true}
	if r.GetErrorKind() != "" {
		out.Err = masticerror.New(masticerror.Kind(r.GetErrorKind()), "%s", r.GetErrorMessage())
	}
	return out
}

// publishDigest is the digest of what the identifier stands for.
func publishDigest(p *masticproto.Publish) masticview.Digest {
	content := &masticproto.Publish{BaseRevision: p.GetBaseRevision(), Change: p.GetChange()}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return masticview.Digest{}
	}
	return masticview.DigestOf(b)
}

// forgotten reports whether id may be one that was forgotten.
func (p *publishes) forgotten(id string, now time.Time) bool {
	keyMs := identifierMillis(id, now)
	return p.ages.MayContain(identifierDigest(id), keyMs) ||
		(keyMs == 0 && len(p.records)+p.ages.TombstoneCount() >= MaxPublishTombstones)
}

func (p *publishes) remember(now time.Time, c *masticproto.Publish, digest masticview.Digest, r PublishResult) {
	id := c.GetRequestId()
	record := &masticproto.PublishRecord{
		RequestId: id, ContentDigest: digest[:], Revision: r.Revision,
		RetainUntilUnixMs: now.Add(PublishRetention).UnixMilli(), IdentifierUnixMs: identifierMillis(id, now),
		Based: c.GetBaseRevision() != 0,
	}
	if r.Err != nil {
		e := masticerror.From(r.Err)
		record.ErrorKind, record.ErrorMessage = string(e.Kind()), e.Message()
	}
	p.records[id] = record
	p.order = append(p.order, id)
	for len(p.order) > MaxPublishes {
		p.forgetOldest()
	}
}

func (p *publishes) forgetOldest() {
	id := p.order[0]
	p.order = p.order[1:]
	p.forget(p.records[id])
	delete(p.records, id)
}

// forget notes that r's identifier will not be remembered, unless its base revision keeps
// it from running again.
func (p *publishes) forget(r *masticproto.PublishRecord) {
	if !r.GetBased() {
		p.ages.Add(identifierDigest(r.GetRequestId()), r.GetIdentifierUnixMs())
	}
}

// expire forgets the answers whose retention deadline has passed.
func (p *publishes) expire(now time.Time) {
	for len(p.order) > 0 && p.records[p.order[0]].GetRetainUntilUnixMs() <= now.UnixMilli() {
		p.forgetOldest()
	}
}

func identifierMillis(id string, now time.Time) int64 {
	t, ok := masticledger.KeyTime(id, now)
	if !ok {
		return 0
	}
	return t.UnixMilli()
}

func identifierDigest(id string) uint64 {
	d := sha256.Sum256([]byte(id))
	return binary.BigEndian.Uint64(d[:])
}

func (p *publishes) save() []*masticproto.PublishRecord {
	out := make([]*masticproto.PublishRecord, 0, len(p.order))
	for _, id := range p.order {
		out = append(out, p.records[id])
	}
	return out
}

func (p *publishes) restore(records []*masticproto.PublishRecord) {
	for _, r := range records {
		p.records[r.GetRequestId()] = r
		p.order = append(p.order, r.GetRequestId())
	}
}
