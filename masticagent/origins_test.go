package masticagent

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticproto"
)

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
	o.Record(masticcall.StreamKeys{one}, "v2")
	first := o.take(now)
	o.Record(masticcall.StreamKeys{one}, "v1")
	o.Record(masticcall.StreamKeys{two}, "v2")
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

// TestEndedStreamIsDroppedLater checks that the record of an answer that was sent whole is kept for a time, and
// for longer if the stream is served again meanwhile.
func TestEndedStreamIsDroppedLater(t *testing.T) {
	c := qt.New(t)
	a, err := New(WithHost("h"), WithControlPeers("127.0.0.1:1"))
	c.Assert(err, qt.IsNil)
	o := a.origins
	one, two := masticcall.StreamKeyOf("mill", "engines", "1"), masticcall.StreamKeyOf("mill", "engines", "2")
	now := time.Now()
	for _, k := range []masticcall.StreamKey{one, two} {
		o.Record(masticcall.StreamKeys{k}, "v2")
		o.End(masticcall.StreamKeys{k}, true)
	}
	c.Assert(o.take(now), qt.IsNil)
	o.Record(masticcall.StreamKeys{two}, "v2")
	b := o.take(now.Add(originEndDelay + 2*time.Second))
	c.Assert(b.ended, qt.DeepEquals, []masticcall.StreamKey{one})
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
	recording := o.Record(masticcall.StreamKeys{one, two}, "v2")
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

	refused := o.Record(masticcall.StreamKeys{one, none}, "v2")
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
