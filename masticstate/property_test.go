package masticstate

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

const begin = int64(1_800_000_000_000)

// pick draws one of from, each as likely as the others; rapid favours the first ones.
func pick[T any](t *rapid.T, label string, from ...T) T {
	n := 0
	for range 5 {
		n *= 2
		if rapid.Bool().Draw(t, label) {
			n++
		}
	}
	return from[n%len(from)]
}

// author draws the commands of a log.
type author struct {
	t     *rapid.T
	at    int64
	sent  []*masticproto.Publish
	epoch uint64
}

func (a *author) digest() []byte {
	d := masticview.DigestOf([]byte(pick(a.t, "digest", "a", "b", "c")))
	return d[:]
}

func (a *author) host() string { return pick(a.t, "host", "h1", "h2") }

// next draws one command. Its time may lie before that of the one before it.
func (a *author) next() *masticproto.Command {
	a.at += pick(a.t, "pass", int64(0), 1, 1, 500, 60_000, 3_600_000, 26*3_600_000)
	c := &masticproto.Command{AtUnixMs: a.at - pick(a.t, "back", int64(0), 0, 0, 5000)}
	inc := pick(a.t, "incarnation", "1", "2")
	attempt := pick(a.t, "attempt", uint64(1), 2, 3)
	k := pick(a.t, "key", "x", "y", "0195a1b2-c3d4-7000-8000-000000000000")
	soon := a.at + pick(a.t, "soon", int64(1000), 120_000)
	switch pick(a.t, "kind", 0, 0, 0, 1, 1, 2, 3, 4, 5, 6, 6, 7, 8, 9, 10) {
	case 0:
		c.Kind = &masticproto.Command_Publish{Publish: a.publish()}
	case 1:
		c.Kind = &masticproto.Command_Reserve{Reserve: &masticproto.Reserve{Workspace: "mill", IdempotencyKey: k, RequestDigest: a.digest(), Host: a.host(), Incarnation: inc, Attempt: attempt, DeadlineUnixMs: soon, RetainUntilUnixMs: soon}}
	case 2:
		c.Kind = &masticproto.Command_Release{Release: &masticproto.Release{Workspace: "mill", IdempotencyKey: k, Host: a.host(), Incarnation: inc, Attempt: attempt}}
	case 3:
		c.Kind = &masticproto.Command_Record{Record: &masticproto.Record{Workspace: "mill", IdempotencyKey: k, Host: a.host(), Incarnation: inc, Attempt: attempt, Unknown: attempt == 3, Answer: &masticproto.StoredAnswer{Status: 200, Body: []byte(inc)}}}
	case 4:
		c.Kind = &masticproto.Command_Quota{Quota: &masticproto.QuotaCheckpoint{Term: attempt, Sequence: pick(a.t, "sequence", uint64(1), 2, 3), Levels: []*masticproto.QuotaLevel{{Workspace: "mill", UsedTokens: soon}}}}
	case 5:
		c.Kind = &masticproto.Command_Usage{Usage: a.usage(inc)}
	case 6:
		c.Kind = &masticproto.Command_Suspect{Suspect: &masticproto.SuspectReport{Server: "s1", ServerIncarnation: inc, Digests: [][]byte{a.digest()}, QuarantineUntilUnixMs: soon}}
	case 7:
		c.Kind = &masticproto.Command_SuspectHold{SuspectHold: &masticproto.SuspectHold{Digest: a.digest(), Server: "s1", Host: a.host(), Incarnation: inc, DeadlineUnixMs: soon}}
	case 8:
		c.Kind = &masticproto.Command_SuspectEnd{SuspectEnd: &masticproto.SuspectEnd{Digest: a.digest(), Server: "s1", Host: a.host(), Incarnation: inc, Completed: attempt == 1}}
	case 9:
		c.Kind = &masticproto.Command_Load{Load: &masticproto.LoadOrder{Server: "s1", Model: k, FenceTerm: attempt, FenceSequence: 1, DeadlineUnixMs: soon, Done: inc == "1"}}
	default:
		c.Kind = &masticproto.Command_Tick{Tick: &masticproto.Tick{}}
	}
	return c
}

// usage draws a report with counters that only grow.
func (a *author) usage(incarnation string) *masticproto.UsageReport {
	a.epoch++
	row := &masticproto.UsageCounter{Workspace: "mill", Model: "m", ServerOwner: "o", Requests: int64(a.epoch)}
	return &masticproto.UsageReport{Host: a.host(), Incarnation: incarnation, Sequence: a.epoch, Counters: []*masticproto.UsageCounter{row}}
}

// publish draws a new change, one that was sent before, or one with a used identifier.
func (a *author) publish() *masticproto.Publish {
	if len(a.sent) > 0 && pick(a.t, "resend", true, false) {
		return a.sent[pick(a.t, "which", 0, 1, 2, 3, 5, 8, 13)%len(a.sent)]
	}
	p := &masticproto.Publish{RequestId: fmt.Sprint("id", len(a.sent)), BaseRevision: pick(a.t, "base", uint64(0), 0, 1, 2, 3, 4, 6)}
	if pick(a.t, "uuid", true, false) {
		p.RequestId = fmt.Sprintf("%08x-%04x-7000-8000-%012x", a.at>>16, a.at&0xffff, len(a.sent))
	}
	if len(a.sent) > 0 && pick(a.t, "same identifier", true, false, false, false) {
		p.RequestId = a.sent[0].GetRequestId()
	}
	p.Change = workspaceChange(pick(a.t, "workspace", "mill", "yard"), int64(len(a.sent)+1))
	if pick(a.t, "wrong", true, false, false, false) {
		p.Change.Workspaces[0].Owner = ""
	}
	a.sent = append(a.sent, p)
	return p
}

// TestSnapshotsAreInvisible applies one log to a replica, and to one that is replaced by a
// restored snapshot now and then: all results and the whole states are equal.
func TestSnapshotsAreInvisible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &author{t: t, at: begin}
		plain, restored := New(), New()
		for i := range uint64(80) {
			c := a.next()
			now := plain.Now()
			x, y := plain.Apply(i+1, c), restored.Apply(i+1, proto.Clone(c).(*masticproto.Command))
			if fmt.Sprintf("%T %+v", x, x) != fmt.Sprintf("%T %+v", y, y) {
				t.Fatalf("after a restore %v answers %T %+v, else %T %+v", c, y, y, x, x)
			}
			if plain.Now().Before(now) {
				t.Fatalf("the time went back by %v", now.Sub(plain.Now()))
			}
			if pick(t, "restore", true, false, false, false) {
				b := restored.Snapshot()
				restored = New()
				if err := restored.Restore(b); err != nil {
					t.Fatal(err)
				}
				if !bytes.Equal(restored.Snapshot(), plain.Snapshot()) {
					t.Fatalf("the states differ after %v", c)
				}
			}
		}
	})
}

// TestPublishesNeverRevert sees that the revision only grows, that each accepted change is
// applied once, and that a resend gets the first answer or a conflict.
func TestPublishesNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &author{t: t, at: begin}
		s := New()
		type content struct{ id, body string }
		accepted := make(map[content]uint64)
		for i := range uint64(80) {
			p := a.publish()
			a.at += pick(t, "pass", int64(0), 1, 1000, 3*24*3_600_000)
			before := s.View().Revision()
			r := s.Apply(i+1, &masticproto.Command{AtUnixMs: a.at, Kind: &masticproto.Command_Publish{Publish: p}}).(PublishResult)
			k := content{p.GetRequestId(), fmt.Sprint(p.GetBaseRevision(), p.GetChange())}
			first, sent := accepted[k]
			switch grown := s.View().Revision() - before; {
			case grown > 1 || (grown == 1) != (r.Err == nil && !r.Repeated):
				t.Fatalf("%+v but the revision grew by %d", r, grown)
			case sent && r.Err == nil && (!r.Repeated || r.Revision != first):
				t.Fatalf("%v was accepted as revision %d and then as %+v", p, first, r)
			case grown == 1 && p.GetBaseRevision() != 0 && p.GetBaseRevision() != before:
				t.Fatalf("a change built on revision %d was applied to %d", p.GetBaseRevision(), before)
			case r.Err != nil && masticerror.KindOf(r.Err) != masticerror.KindConflict && masticerror.KindOf(r.Err) != masticerror.KindBadRequest:
				t.Fatalf("the error %v", r.Err)
			case grown == 1:
				accepted[k] = r.Revision
			}
			if pick(t, "restore", true, false, false, false) {
				b := s.Snapshot()
				s = New()
				if err := s.Restore(b); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// TestForgottenIdentifiers sees that identifiers which were crowded out never run as new.
func TestForgottenIdentifiers(t *testing.T) {
	s := New()
	for i := range int64(MaxPublishes + 2) {
		s.Apply(uint64(i+1), publishCommand(begin+i, fmt.Sprint("id", i), 0, workspaceChange("mill", i+1)))
	}
	revision := s.View().Revision()
	again := s.Apply(MaxPublishes+3, publishCommand(begin, "id1", 0, workspaceChange("mill", 2))).(PublishResult)
	if masticerror.KindOf(again.Err) != masticerror.KindConflict || s.View().Revision() != revision {
		t.Fatalf("a forgotten identifier got %+v", again)
	}
	kept := s.Apply(MaxPublishes+4, publishCommand(begin, "id2", 0, workspaceChange("mill", 3))).(PublishResult)
	if !kept.Repeated || kept.Revision != 3 {
		t.Fatalf("a remembered identifier got %+v", kept)
	}
	after := time.Duration(PublishRetention) + time.Hour
	late := s.Apply(MaxPublishes+5, publishCommand(begin+after.Milliseconds(), "id2", 0, workspaceChange("mill", 3))).(PublishResult)
	if masticerror.KindOf(late.Err) != masticerror.KindConflict {
		t.Fatalf("an identifier past its retention got %+v", late)
	}
}
