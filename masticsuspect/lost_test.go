package masticsuspect

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// failure is a report of a server, at a time after begin.
type failure struct {
	at     time.Duration
	server string
	// incarnation is "born" if the server states one.
	incarnation string
	verdict     masticproto.Verdict
	// failedAt is when the server failed, sentAt when the request was sent to it.
	failedAt, sentAt time.Duration
	request          int
}

// report applies f and returns whether its request is quarantined.
func (f failure) report(c *qt.C, t *Tracker) bool {
	d := digest(f.request)
	r := &masticproto.SuspectReport{
		Server: f.server, ServerIncarnation: f.incarnation, Verdict: f.verdict, QuarantineAfter: 3, FailedAgeMs: (f.at - f.failedAt).Milliseconds(),
	}
	if f.verdict != alive {
		r.Digests, r.AgesMs = [][]byte{d[:]}, []int64{(f.at - f.sentAt).Milliseconds()}
	}
	quarantined, err := t.Report(begin.Add(f.at), r)
	c.Assert(err, qt.IsNil)
	return slices.Contains(quarantined, d)
}

// Short names of the verdicts.
const (
	ended = masticproto.Verdict_VERDICT_ENDED
	lost  = masticproto.Verdict_VERDICT_LOST
	alive = masticproto.Verdict_VERDICT_ALIVE
)

const second = time.Second

// restored returns t restored from its snapshot.
func restored(c *qt.C, t *Tracker) *Tracker {
	next, err := Restore(t.Snapshot())
	c.Assert(err, qt.IsNil)
	c.Assert(next.Fingerprint(), qt.Equals, t.Fingerprint())
	return next
}

// TestLostServersCountOnceTheyHaveEnded checks that lost servers make a request a suspect and deny it a
// hold, and quarantine it only when their ends are proved.
func TestLostServersCountOnceTheyHaveEnded(t *testing.T) {
	c := qt.New(t)
	g := New()
	for i := range 3 {
		at := time.Duration(i) * second / 4
		c.Assert(failure{at: at, server: fmt.Sprint("s", i), verdict: lost, failedAt: at, sentAt: at, request: 1}.report(c, g), qt.IsFalse)
	}
	g = restored(c, g)
	c.Assert(g.Suspect(digest(1)), qt.IsTrue)
	f := &fleet{now: begin.Add(second), tracker: g}
	c.Assert(g.AcquireHold(f.now, f.hold(5, 1, "h1")), qt.Equals, HoldUndecided)
	for i := range 3 {
		at := 2 * second
		d := digest(9)
		_, err := g.Report(begin.Add(at), &masticproto.SuspectReport{Server: fmt.Sprint("s", i), Digests: [][]byte{d[:]}, AgesMs: []int64{0}, QuarantineAfter: 3})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(g.records[digest(1)].incarnations, qt.HasLen, 3)
	c.Assert(g.Suspect(digest(9)), qt.IsFalse)
}

// TestQuarantineFollowsLastProof checks that the proof of the third end quarantines the request, whoever
// reports it and whatever it reports besides.
func TestQuarantineFollowsLastProof(t *testing.T) {
	c := qt.New(t)
	g := New()
	for i := range 3 {
		failure{at: 0, server: fmt.Sprint("s", i), verdict: lost, request: 1}.report(c, g)
	}
	for i := range 3 {
		quarantined, err := g.Report(begin.Add(2*second), &masticproto.SuspectReport{Server: fmt.Sprint("s", i), QuarantineAfter: 3})
		c.Assert(err, qt.IsNil)
		c.Assert(len(quarantined) == 1, qt.Equals, i == 2)
		g = restored(c, g)
	}
}

// TestServersThatAnswerAgainClearTheirRequests checks that a request is no suspect any more when the
// servers that were lost under it have answered, or nothing is heard of them for LostTTL.
func TestServersThatAnswerAgainClearTheirRequests(t *testing.T) {
	for _, expire := range []bool{false, true} {
		t.Run(fmt.Sprint("expire: ", expire), func(t *testing.T) {
			c := qt.New(t)
			g := New()
			for i := range 3 {
				failure{server: fmt.Sprint("s", i), verdict: lost, request: 1}.report(c, g)
			}
			for i := range 3 {
				if !expire {
					failure{at: second, server: fmt.Sprint("s", i), verdict: alive}.report(c, g)
				}
			}
			if expire {
				g.Expire(begin.Add(LostTTL))
			}
			c.Assert(g.Records(), qt.Equals, 0)
			c.Assert(g.Fingerprint(), qt.Equals, uint64(0))
			f := &fleet{now: begin.Add(LostTTL), tracker: g}
			c.Assert(g.AcquireHold(f.now, f.hold(5, 1, "h1")), qt.Equals, HoldGranted)
		})
	}
}

// TestRequestSentToFailedServerIsQuarantined: a harmless request that reached servers after another
// request had ended them, while their ports were still open, was blamed for their ends.
func TestRequestSentToFailedServerIsQuarantined(t *testing.T) {
	for _, verdict := range []masticproto.Verdict{lost, ended} {
		t.Run(verdict.String(), func(t *testing.T) {
			c := qt.New(t)
			g := New()
			for i := range 4 {
				server, at := fmt.Sprint("s", i), time.Duration(i)*second
				failure{at: at, server: server, verdict: lost, failedAt: at, sentAt: at - second/10, request: 1}.report(c, g)
				harmless := failure{at: at + second/2, server: server, verdict: verdict, failedAt: at + second/2, sentAt: at + second/3, request: 2}
				c.Assert(harmless.report(c, g), qt.IsFalse)
				c.Assert(g.Suspect(digest(2)), qt.IsFalse)
				g = restored(c, g)
			}
			c.Assert(g.Suspect(digest(1)), qt.IsTrue)
		})
	}
}

// TestRestartThatTheViewDoesNotShowIsAnotherIncarnation checks that all attempts which one end broke name
// one incarnation, whenever and by whichever host they are reported, and that an attempt which began
// after it names another.
func TestRestartThatTheViewDoesNotShowIsAnotherIncarnation(t *testing.T) {
	for _, incarnation := range []string{"born", ""} {
		t.Run(incarnation, func(t *testing.T) {
			c := qt.New(t)
			g := New()
			ms := time.Millisecond
			report := func(at, sentAt time.Duration, request, failures int) {
				f := failure{at: at, server: "s", incarnation: incarnation, verdict: ended, failedAt: at, sentAt: sentAt, request: request}
				c.Assert(f.report(c, g), qt.Equals, failures == 3)
				d := digest(request)
				c.Assert(g.MostFailures([][]byte{d[:]}), qt.Equals, failures)
				g = restored(c, g)
			}
			report(100*ms, 50*ms, 1, 1)
			report(120*ms, 90*ms, 1, 1)
			report(700*ms, 80*ms, 1, 1)
			report(800*ms, 790*ms, 1, 2)
			report(810*ms, 700*ms, 2, 1)
			report(1500*ms, 1400*ms, 1, 3)
		})
	}
}

// TestCopiesOfSuspectRunOneAtATime checks that no more copies of a request run than ends are left until
// its quarantine, and that the others run when one has completed.
func TestCopiesOfSuspectRunOneAtATime(t *testing.T) {
	c := qt.New(t)
	g := New()
	for i := range 2 {
		at := time.Duration(i) * 10 * second
		failure{at: at, server: fmt.Sprint("s", i), verdict: ended, failedAt: at, sentAt: at, request: 1}.report(c, g)
	}
	f := &fleet{now: begin.Add(20 * second), tracker: g}
	c.Assert(g.AcquireHold(f.now, f.hold(3, 1, "h1")), qt.Equals, HoldGranted)
	c.Assert(g.AcquireHold(f.now, f.hold(4, 1, "h2")), qt.Equals, HoldUndecided)
	d := digest(1)
	g.ReleaseHold(begin, &masticproto.SuspectEnd{Digest: d[:], Server: "s3", Host: "h1", Incarnation: "1", Completed: true})
	c.Assert(g.AcquireHold(f.now, f.hold(4, 1, "h2")), qt.Equals, HoldGranted)
}

// TestFailedServersAreBounded checks that the oldest failed servers are forgotten, also in the records of
// requests if they are lost.
func TestFailedServersAreBounded(t *testing.T) {
	c := qt.New(t)
	g := New()
	for i := range maxFailedServers + 10 {
		failure{server: fmt.Sprint("s", i), verdict: lost, request: 1}.report(c, g)
	}
	c.Assert(g.servers, qt.HasLen, maxFailedServers)
	d := digest(1)
	c.Assert(g.MostFailures([][]byte{d[:]}), qt.Equals, maxFailedServers)
	c.Assert(g.records[masticview.Digest(d)].lost[0], qt.Equals, "s10\x00"+restartSeparator+fmt.Sprint(begin.UnixMilli()))
}

// TestRequestThatAnotherHostServesIsQuarantined: a harmless request that hung on servers which ended one
// after the other was quarantined, although other hosts had just had it served.
func TestRequestThatAnotherHostServesIsQuarantined(t *testing.T) {
	c := qt.New(t)
	g := New()
	for i := range 4 {
		at := time.Duration(i) * second
		c.Assert(failure{at: at, server: fmt.Sprint("s", i), verdict: ended, failedAt: at, sentAt: at, request: 1}.report(c, g), qt.IsFalse)
		if g.Suspect(digest(1)) {
			d := digest(1)
			_, err := g.Report(begin.Add(at), &masticproto.SuspectReport{Verdict: masticproto.Verdict_VERDICT_COMPLETED, Digests: [][]byte{d[:]}})
			c.Assert(err, qt.IsNil)
			c.Assert(g.Records(), qt.Equals, 0)
		}
	}
}

// TestRepeatedReportCountsAsAnotherEnd: a report that was committed twice, some time apart, counted as two ends, so that a request was
// quarantined after two servers.
func TestRepeatedReportCountsAsAnotherEnd(t *testing.T) {
	for _, incarnation := range []string{"", "born"} {
		c := qt.New(t)
		tracker, d, now := New(), digest(1), begin
		var quarantined []masticview.Digest
		for i := range 2 {
			r := &masticproto.SuspectReport{
				Id: uint64(i + 1), Server: fmt.Sprint("s", i), ServerIncarnation: incarnation, QuarantineAfter: 3, Digests: [][]byte{d[:]},
				AgesMs: []int64{2}, FailedAgeMs: 1, Parts: []*masticproto.SuspectPart{{Digest: d[:]}}, RequestParts: []*masticproto.PartIndices{{Indices: []uint32{0}}},
			}
			for range 3 {
				now = now.Add(60 * time.Millisecond)
				q, err := tracker.Report(now, r)
				c.Assert(err, qt.IsNil)
				quarantined = append(quarantined, q...)
				tracker = restored(c, tracker)
			}
			now = now.Add(time.Second)
		}
		c.Assert(quarantined, qt.HasLen, 0)
		c.Assert(tracker.MostFailures([][]byte{d[:]}), qt.Equals, 2)
		c.Assert(tracker.servers, qt.HasLen, 2)
	}
}
