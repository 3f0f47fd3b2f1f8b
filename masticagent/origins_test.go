package masticagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

// inOneMinute is a deadline of streams.
var inOneMinute = time.Unix(1060, 0)

// TestBatchesOfStreamsAreShared checks that all hosts of a large site together send the leader no more batches
// than it takes, and that a few hosts are not bounded.
func TestBatchesOfStreamsAreShared(t *testing.T) {
	for _, x := range []struct{ hosts, perSecond int }{{85, originBatchesPerSecond}, {291, originBatchesPerSecond}, {450, originBatchesPerSecond}} {
		c := qt.New(t)
		now := time.Unix(1000, 0)
		o := &origins{tokensAt: now}
		sent := 0
		const steps = 10_000
		for range steps {
			now = now.Add(time.Millisecond)
			o.refill(now, x.hosts)
			if o.tokens >= 1 {
				o.tokens--
				sent++
			}
		}
		c.Assert(sent*x.hosts <= x.perSecond*steps/1000+x.hosts, qt.IsTrue, qt.Commentf("%d hosts: %d batches each", x.hosts, sent))
		c.Assert(sent > 0, qt.IsTrue)
	}
	few := &origins{tokens: -1}
	few.refill(time.Unix(1000, 0), fewHosts)
	qt.Assert(t, few.tokens >= 1, qt.IsTrue)
}

// TestKeyIsInOneBatchAtATime checks that a record which is replaced while its batch is under way follows in a
// later one, and that batches name the oldest one under way.
func TestKeyIsInOneBatchAtATime(t *testing.T) {
	c := qt.New(t)
	a, err := New(WithHost("h"), WithControlPeers("127.0.0.1:1"))
	c.Assert(err, qt.IsNil)
	o, now := a.origins, time.Unix(1000, 0)
	one, two := masticcall.StreamKeyOf("mill", "engines", "1"), masticcall.StreamKeyOf("mill", "engines", "2")
	o.Record(masticcall.StreamKeys{one}, "v2", inOneMinute)
	first := o.take(now)
	o.Record(masticcall.StreamKeys{one}, "v1", inOneMinute)
	o.Record(masticcall.StreamKeys{two}, "v2", inOneMinute)
	second := o.take(now)
	c.Assert(second.records, qt.HasLen, 1)
	c.Assert(second.records[two], qt.IsNotNil)
	c.Assert(second.command.GetOldest(), qt.Equals, first.command.GetSequence())
	o.release(first)
	o.acknowledge(now, first, nil)
	third := o.take(now)
	c.Assert(third.records[one].software, qt.Equals, "v1")
	c.Assert(third.command.GetOldest(), qt.Equals, second.command.GetSequence())
	o.release(second)
	o.acknowledge(now, second, nil)
	_, known := o.ask(&originQuestion{key: two, service: "engines"})
	c.Assert(known, qt.IsTrue)
	_, known = o.ask(&originQuestion{key: one, service: "engines"})
	c.Assert(known, qt.IsFalse, qt.Commentf("not acknowledged yet"))
}

// TestRecordIsDroppedAtTheEndOfItsStream: the host had the record dropped once it had sent the whole answer, which the caller had not
// read yet.
func TestRecordIsDroppedAtTheEndOfItsStream(t *testing.T) {
	c := qt.New(t)
	a, err := New(WithHost("h"), WithControlPeers("127.0.0.1:1"))
	c.Assert(err, qt.IsNil)
	o, now := a.origins, time.Unix(1000, 0)
	sent, unsent, none := masticcall.StreamKeyOf("mill", "engines", "1"), masticcall.StreamKeyOf("mill", "engines", "2"), masticcall.StreamKeyOf("mill", "engines", "3")
	o.Record(masticcall.StreamKeys{sent, none}, "v2", now.Add(8*time.Second))
	b := o.take(now)
	c.Assert(b.command.GetBegun()[0].GetLifetimesMs(), qt.DeepEquals, []uint32{13001, 13001})
	o.release(b)
	o.acknowledge(now, b, nil)
	o.Record(masticcall.StreamKeys{unsent}, "v2", now.Add(8*time.Second))
	o.End(masticcall.StreamKeys{sent, unsent}, false)
	o.End(masticcall.StreamKeys{none}, true)

	b = o.take(now.Add(5 * time.Second))
	c.Assert(b.ended, qt.DeepEquals, []masticcall.StreamKey{none}, qt.Commentf("its caller got nothing"))
	c.Assert(b.command.GetBegun()[0].GetKeys(), qt.DeepEquals, unsent[:], qt.Commentf("a record that was not written when its stream ended"))
	c.Assert(b.command.GetBegun()[0].GetLifetimesMs(), qt.DeepEquals, []uint32{8001})
	o.release(b)
	o.requeue(b)
	b = o.take(now.Add(6 * time.Second))
	c.Assert(b.command.GetBegun()[0].GetKeys(), qt.DeepEquals, unsent[:], qt.Commentf("its batch had no answer"))
	o.release(b)
	o.acknowledge(now, b, nil)
	c.Assert(o.records, qt.HasLen, 0)
	c.Assert(o.take(now.Add(time.Hour)), qt.IsNil)
}

// TestTakenUpStreamExtendsItsRecord checks that a later deadline of a stream is written, also if its record is under way.
func TestTakenUpStreamExtendsItsRecord(t *testing.T) {
	c := qt.New(t)
	a, err := New(WithHost("h"), WithControlPeers("127.0.0.1:1"))
	c.Assert(err, qt.IsNil)
	o, now := a.origins, time.Unix(1000, 0)
	one := masticcall.StreamKeyOf("mill", "engines", "1")
	o.Record(masticcall.StreamKeys{one}, "v2", now.Add(time.Second))
	b := o.take(now)
	recording := o.Record(masticcall.StreamKeys{one}, "v2", now.Add(3*time.Second))
	o.End(masticcall.StreamKeys{one}, false)
	o.release(b)
	o.acknowledge(now, b, nil)
	c.Assert(recording.Wait(t.Context()), qt.IsNil)
	b = o.take(now)
	c.Assert(b.command.GetBegun()[0].GetLifetimesMs(), qt.DeepEquals, []uint32{8001})
	o.release(b)
	o.acknowledge(now, b, nil)
	c.Assert(o.records, qt.HasLen, 0)
}

// TestRefusedRecordsArePaused: streams went on to begin at versions whose records had no room, and each waited for nothing.
func TestRefusedRecordsArePaused(t *testing.T) {
	c := qt.New(t)
	a, err := New(WithHost("h"), WithControlPeers("127.0.0.1:1"))
	c.Assert(err, qt.IsNil)
	o, now := a.origins, time.Unix(1000, 0)
	one := masticcall.StreamKeyOf("mill", "engines", "1")
	o.Record(masticcall.StreamKeys{one}, "v2", now.Add(time.Second))
	b := o.take(now)
	o.release(b)
	o.acknowledge(now, b, &masticproto.CommandAnswer{Unrecorded: one[:]})
	c.Assert(o.takesStream(now), qt.IsFalse)
	c.Assert(o.takesStream(now.Add(originCooldown)), qt.IsTrue)
}

// TestRecordsAreAvailableAgainAfterFailure: a host that had no streams to record after control was back did not
// notice it, and began streams at the base version only.
func TestRecordsAreAvailableAgainAfterFailure(t *testing.T) {
	c := qt.New(t)
	a, err := New(WithHost("h"), WithControlPeers("127.0.0.1:1"))
	c.Assert(err, qt.IsNil)
	now := time.Unix(1000, 0)
	c.Assert(a.origins.takesStream(now), qt.IsTrue)
	a.origins.failedUntil = now.Add(originCooldown)
	c.Assert(a.origins.takesStream(now), qt.IsFalse)
	c.Assert(a.origins.takesStream(now.Add(originCooldown)), qt.IsTrue)
}

// TestStreamIsKnownByEachOfItsKeys: a stream was found under the key alone by which it had been recorded. Its first event waits for the
// records of all keys.
func TestStreamIsKnownByEachOfItsKeys(t *testing.T) {
	c := qt.New(t)
	a, err := New(WithHost("h"), WithControlPeers("127.0.0.1:1"))
	c.Assert(err, qt.IsNil)
	o, now := a.origins, time.Unix(1000, 0)
	one, two, none := masticcall.StreamKeyOf("mill", "engines", "1"), masticcall.StreamKeyOf("yard", "engines", "1"), masticcall.StreamKeyOf("none", "engines", "1")
	recording := o.Record(masticcall.StreamKeys{one, two}, "v2", inOneMinute)
	b := o.take(now)
	c.Assert(b.records, qt.HasLen, 2)
	late, cancel := context.WithCancel(t.Context())
	cancel()
	c.Assert(recording.Wait(late), qt.ErrorIs, context.Canceled)
	o.release(b)
	o.acknowledge(now, b, nil)
	c.Assert(recording.Wait(t.Context()), qt.IsNil)
	for _, keys := range []masticcall.StreamKeys{{one}, {two}, {none, two}} {
		found, err := o.Find(t.Context(), keys, "engines")
		c.Assert(err, qt.IsNil)
		c.Assert(found, qt.Equals, masticcall.StreamOrigin{Software: "v2", Recorded: true, ByItself: true})
	}

	refused := o.Record(masticcall.StreamKeys{one, none}, "v2", inOneMinute)
	b = o.take(now)
	c.Assert(b.records, qt.HasLen, 1)
	o.release(b)
	o.acknowledge(now, b, &masticproto.CommandAnswer{Unrecorded: none[:]})
	c.Assert(refused.Wait(t.Context()), qt.IsNotNil)
}

// TestAnswersOfAllKeysAreAwaited checks that the base version is taken for that of a stream only if no key has a record.
func TestAnswersOfAllKeysAreAwaited(t *testing.T) {
	c := qt.New(t)
	a, err := New(WithHost("h"), WithControlPeers("127.0.0.1:1"))
	c.Assert(err, qt.IsNil)
	o := a.origins
	keys := masticcall.StreamKeys{masticcall.StreamKeyOf("mill", "engines", "1"), masticcall.StreamKeyOf("yard", "engines", "1")}
	for _, x := range []struct {
		answers []*masticproto.StreamOrigin
		found   masticcall.StreamOrigin
	}{
		{[]*masticproto.StreamOrigin{{Software: "v1"}, {Software: "v2", Recorded: true}}, masticcall.StreamOrigin{Software: "v2", Recorded: true}},
		{[]*masticproto.StreamOrigin{{Software: "v3", Recorded: true}, {Software: "v2", Recorded: true}}, masticcall.StreamOrigin{Software: "v3", Recorded: true}},
		{[]*masticproto.StreamOrigin{{Software: "v1"}, {Software: "v1"}}, masticcall.StreamOrigin{Software: "v1"}},
	} {
		q := &asking{origins: o, keys: keys, found: make(chan masticcall.StreamOrigin)}
		go q.run(t.Context())
		var b *pendingOriginBatch
		for b == nil || len(b.asked) == 0 {
			<-o.wake
			b = o.take(time.Unix(1000, 0))
		}
		c.Assert(b.asked, qt.HasLen, 2)
		o.release(b)
		o.acknowledge(time.Unix(1000, 0), b, &masticproto.CommandAnswer{Origins: x.answers})
		c.Assert(<-q.found, qt.Equals, x.found)
	}
}

// asking is a question on a stream.
type asking struct {
	origins *origins
	keys    masticcall.StreamKeys
	found   chan masticcall.StreamOrigin
}

func (a *asking) run(ctx context.Context) {
	found, _ := a.origins.Find(ctx, a.keys, "engines")
	a.found <- found
}
