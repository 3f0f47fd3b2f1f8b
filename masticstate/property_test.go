package masticstate

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

const startMs = int64(1_800_000_000_000)

// pick draws one element of from with equal probability. rapid's generators favour the
// first elements.
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

// commandGenerator draws the commands of a log at random.
type commandGenerator struct {
	t     *rapid.T
	at    int64
	sent  []*masticproto.Publish
	epoch uint64
}

func (g *commandGenerator) digest() []byte {
	d := masticview.DigestOf([]byte(pick(g.t, "digest", "a", "b", "c")))
	return d[:]
}

func (g *commandGenerator) host() string { return pick(g.t, "host", "h1", "h2") }

// next draws one command. Its time may be earlier than that of the previous command.
func (g *commandGenerator) next() *masticproto.Command {
	g.at += pick(g.t, "pass", int64(0), 1, 1, 500, 60_000, 3_600_000, 26*3_600_000)
	c := &masticproto.Command{AtUnixMs: g.at - pick(g.t, "back", int64(0), 0, 0, 5000)}
	incarnation := pick(g.t, "incarnation", "1", "2")
	attempt := pick(g.t, "attempt", uint64(1), 2, 3)
	k := pick(g.t, "key", "x", "y", "0195a1b2-c3d4-7000-8000-000000000000")
	untilMs := g.at + pick(g.t, "soon", int64(1000), 120_000)
	switch pick(g.t, "kind", 0, 0, 0, 1, 1, 2, 3, 4, 5, 6, 6, 7, 8, 9, 10, 11, 11) {
	case 0:
		c.Kind = &masticproto.Command_Publish{Publish: g.publish()}
	case 1:
		c.Kind = &masticproto.Command_Reserve{Reserve: &masticproto.Reserve{Workspace: "mill", IdempotencyKey: k, RequestDigest: g.digest(), Host: g.host(), Incarnation: incarnation, Attempt: attempt, DeadlineUnixMs: untilMs, RetainUntilUnixMs: untilMs}}
	case 2:
		c.Kind = &masticproto.Command_Release{Release: &masticproto.Release{Workspace: "mill", IdempotencyKey: k, Host: g.host(), Incarnation: incarnation, Attempt: attempt}}
	case 3:
		c.Kind = &masticproto.Command_Record{Record: &masticproto.Record{Workspace: "mill", IdempotencyKey: k, Host: g.host(), Incarnation: incarnation, Attempt: attempt, Unknown: attempt == 3, Answer: &masticproto.StoredAnswer{Status: 200, Body: []byte(incarnation)}}}
	case 4:
		c.Kind = &masticproto.Command_Quota{Quota: &masticproto.QuotaCheckpoint{Term: attempt, Sequence: pick(g.t, "sequence", uint64(1), 2, 3), Levels: []*masticproto.QuotaLevel{{Workspace: "mill", UsedTokens: untilMs}}}}
	case 5:
		c.Kind = &masticproto.Command_Usage{Usage: g.usage(incarnation)}
	case 6:
		c.Kind = &masticproto.Command_Suspect{Suspect: &masticproto.SuspectReport{Server: "s1", ServerIncarnation: incarnation, Digests: [][]byte{g.digest()}, QuarantineUntilUnixMs: untilMs}}
	case 7:
		c.Kind = &masticproto.Command_SuspectHold{SuspectHold: &masticproto.SuspectHold{Digest: g.digest(), Server: "s1", Host: g.host(), Incarnation: incarnation, DeadlineUnixMs: untilMs}}
	case 8:
		c.Kind = &masticproto.Command_SuspectEnd{SuspectEnd: &masticproto.SuspectEnd{Digest: g.digest(), Server: "s1", Host: g.host(), Incarnation: incarnation, Completed: attempt == 1}}
	case 9:
		c.Kind = &masticproto.Command_Load{Load: &masticproto.LoadOrder{Server: "s1", Model: k, FenceTerm: attempt, FenceSequence: 1, DeadlineUnixMs: untilMs, Done: incarnation == "1"}}
	case 10:
		c.Kind = &masticproto.Command_Origins{Origins: g.origins(incarnation, attempt)}
	default:
		c.Kind = &masticproto.Command_Tick{Tick: &masticproto.Tick{ElapsedUs: int64(attempt) * 700_000}}
	}
	return c
}

// origins draws a batch that records a stream, drops the record of another one and asks for a third.
func (g *commandGenerator) origins(incarnation string, sequence uint64) *masticproto.StreamOrigins {
	key := func(name string) []byte {
		k := masticcall.StreamKeyOf("mill", "pool", pick(g.t, name, "1", "2", "3"))
		return k[:]
	}
	return &masticproto.StreamOrigins{
		Host: g.host(), Incarnation: incarnation, Sequence: sequence, Oldest: sequence - 1, ElapsedUs: int64(sequence) * 300_000,
		Begun: []*masticproto.BegunStreams{{Software: "v" + incarnation, Keys: key("begun"), LifetimesMs: []uint32{uint32(sequence) * 500}}},
		Ended: key("ended"), Asked: []*masticproto.AskedStream{{Key: key("asked"), Service: "pool"}},
	}
}

// usage draws a report with cumulative counters.
func (g *commandGenerator) usage(incarnation string) *masticproto.UsageReport {
	g.epoch++
	row := &masticproto.UsageCounter{Workspace: "mill", Model: "m", ServerOwner: "o", Requests: int64(g.epoch)}
	return &masticproto.UsageReport{Host: g.host(), Incarnation: incarnation, Sequence: g.epoch, Counters: []*masticproto.UsageCounter{row}}
}

// publish draws a new change, a resend of an earlier one, or a new change under a used
// request identifier.
func (g *commandGenerator) publish() *masticproto.Publish {
	if len(g.sent) > 0 && pick(g.t, "resend", true, false) {
		return g.sent[pick(g.t, "which", 0, 1, 2, 3, 5, 8, 13)%len(g.sent)]
	}
	p := &masticproto.Publish{RequestId: fmt.Sprint("id", len(g.sent)), BaseRevision: pick(g.t, "base", uint64(0), 0, 1, 2, 3, 4, 6)}
	if pick(g.t, "uuid", true, false) {
		p.RequestId = fmt.Sprintf("%08x-%04x-7000-8000-%012x", g.at>>16, g.at&0xffff, len(g.sent))
	}
	if len(g.sent) > 0 && pick(g.t, "same identifier", true, false, false, false) {
		p.RequestId = g.sent[0].GetRequestId()
	}
	p.Change = workspaceChange(pick(g.t, "workspace", "mill", "yard"), int64(len(g.sent)+1))
	if pick(g.t, "wrong", true, false, false, false) {
		p.Change.Workspaces[0].Owner = ""
	}
	g.sent = append(g.sent, p)
	return p
}

// TestRestoredReplicaAppliesCommandsIdentically guards against state that is missing from
// snapshots: it applies one log to a replica and to one that is repeatedly replaced by its
// restored snapshot, and requires equal results and equal states.
func TestRestoredReplicaAppliesCommandsIdentically(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &commandGenerator{t: t, at: startMs}
		plain, restored := New(), New()
		for i := range uint64(80) {
			c := g.next()
			now := plain.Now()
			x, y := plain.Apply(i+1, c), restored.Apply(i+1, proto.Clone(c).(*masticproto.Command))
			if fmt.Sprintf("%T %+v", x, x) != fmt.Sprintf("%T %+v", y, y) {
				t.Fatalf("after a restore %v returned %T %+v, without it %T %+v", c, y, y, x, x)
			}
			if plain.Now().Before(now) {
				t.Fatalf("the state's time decreased by %v", now.Sub(plain.Now()))
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

// TestEachPublishIsAppliedOnce guards against a resent change that is applied twice and
// reverts later ones: the revision never decreases, each accepted change is applied once,
// and a resend returns the first result or a conflict.
func TestEachPublishIsAppliedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &commandGenerator{t: t, at: startMs}
		s := New()
		type content struct{ id, body string }
		accepted := make(map[content]uint64)
		for i := range uint64(80) {
			p := g.publish()
			g.at += pick(t, "pass", int64(0), 1, 1000, 3*24*3_600_000)
			before := s.View().Revision()
			r := s.Apply(i+1, &masticproto.Command{AtUnixMs: g.at, Kind: &masticproto.Command_Publish{Publish: p}}).(PublishResult)
			k := content{p.GetRequestId(), fmt.Sprint(p.GetBaseRevision(), p.GetChange())}
			first, sent := accepted[k]
			switch increase := s.View().Revision() - before; {
			case increase > 1 || (increase == 1) != (r.Err == nil && !r.Repeated):
				t.Fatalf("publish returned %+v but the revision increased by %d", r, increase)
			case sent && r.Err == nil && (!r.Repeated || r.Revision != first):
				t.Fatalf("%v was accepted as revision %d and then as %+v", p, first, r)
			case increase == 1 && p.GetBaseRevision() != 0 && p.GetBaseRevision() != before:
				t.Fatalf("a change based on revision %d was applied to revision %d", p.GetBaseRevision(), before)
			case r.Err != nil && masticerror.KindOf(r.Err) != masticerror.KindConflict && masticerror.KindOf(r.Err) != masticerror.KindBadRequest:
				t.Fatalf("unexpected error kind: %v", r.Err)
			case increase == 1:
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

// TestExpiredRequestIDsAreNotAppliedAgain guards against a resent change that is applied
// again after its record was evicted or has passed its retention.
func TestExpiredRequestIDsAreNotAppliedAgain(t *testing.T) {
	s := New()
	for i := range int64(MaxPublishRecords + 2) {
		s.Apply(uint64(i+1), publishCommand(startMs+i, fmt.Sprint("id", i), 0, workspaceChange("mill", i+1)))
	}
	revision := s.View().Revision()
	again := s.Apply(MaxPublishRecords+3, publishCommand(startMs, "id1", 0, workspaceChange("mill", 2))).(PublishResult)
	if masticerror.KindOf(again.Err) != masticerror.KindConflict || s.View().Revision() != revision {
		t.Fatalf("publish under an evicted identifier returned %+v", again)
	}
	kept := s.Apply(MaxPublishRecords+4, publishCommand(startMs, "id2", 0, workspaceChange("mill", 3))).(PublishResult)
	if !kept.Repeated || kept.Revision != 3 {
		t.Fatalf("publish under a recorded identifier returned %+v", kept)
	}
	after := time.Duration(PublishRetention) + time.Hour
	late := s.Apply(MaxPublishRecords+5, publishCommand(startMs+after.Milliseconds(), "id2", 0, workspaceChange("mill", 3))).(PublishResult)
	if masticerror.KindOf(late.Err) != masticerror.KindConflict {
		t.Fatalf("publish under an identifier past its retention returned %+v", late)
	}
}
