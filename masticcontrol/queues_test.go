package masticcontrol

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// leadingLoop returns the loop of a control group of one host, which leads. Its batches are run by the test.
func leadingLoop(t *testing.T) *loop {
	control, err := New(
		WithID("a"), WithFolder(t.TempDir()), WithAddress("127.0.0.1:0"),
		WithMembers(&masticproto.Member{Id: "a", Address: "127.0.0.1:1", Voter: true}),
	)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(control.server.Stop)
	t.Cleanup(control.loop.shutDown)
	// Bounds by number are tested, and none by measured time.
	control.loop.callBudget = time.Hour
	for !control.loop.status.LeaseHeld || control.loop.leader == nil {
		time.Sleep(time.Millisecond)
		runBatch(t, control.loop)
	}
	return control.loop
}

func runBatch(t *testing.T, l *loop) {
	qt.Assert(t, (&batch{loop: l}).run(), qt.IsNil)
}

func offer(t *testing.T, l *loop, q *masticproto.PeerRequest) *call {
	c := newCall(context.Background(), q)
	qt.Assert(t, l.queues.offer(c), qt.IsNil)
	return c
}

func commandRequest(c *masticproto.Command) *masticproto.PeerRequest {
	return &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Command{Command: c}}
}

func usageCommand(i int) *masticproto.PeerRequest {
	return commandRequest(&masticproto.Command{Kind: &masticproto.Command_Usage{Usage: &masticproto.UsageReport{Host: "h", Incarnation: "1", Sequence: uint64(i + 1)}}})
}

// TestReportsWaitForOtherCalls guards against a batch that takes all reports that wait: one took over 10 s, in which the leader sent
// no heartbeats and answered no renewals.
func TestReportsWaitForOtherCalls(t *testing.T) {
	c := qt.New(t)
	l := leadingLoop(t)
	now := time.Now()
	var accepted []*call
	rejected := 0
	for i := range 500 {
		r := newCall(context.Background(), commandRequest(suspectCommand(now, i)))
		if err := l.queues.offer(r); err != nil {
			c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindOverloaded)
			rejected++
			continue
		}
		accepted = append(accepted, r)
	}
	c.Assert(rejected, qt.Equals, 500-maxWaitingReports)
	renewal := offer(t, l, &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Renew{Renew: &masticproto.RenewRequest{Host: "h"}}})
	command := offer(t, l, usageCommand(0))
	answered := 0
	for batches := 1; answered < len(accepted); batches++ {
		c.Assert(batches < 20, qt.IsTrue)
		runBatch(t, l)
		c.Assert(renewal.answers, qt.HasLen, 1)
		c.Assert(command.answers, qt.HasLen, 1)
		before := answered
		answered = 0
		for _, r := range accepted {
			answered += len(r.answers)
		}
		c.Assert(answered-before <= maxBatchReports, qt.IsTrue, qt.Commentf("%d reports in a batch", answered-before))
	}
	for _, r := range accepted {
		c.Assert((<-r.answers).err, qt.IsNil)
	}
	c.Assert(l.openReports, qt.Equals, 0)
}

// TestBatchEndsWhenItsTimeIsUsed guards against a batch that takes all commands that wait, however long that takes.
func TestBatchEndsWhenItsTimeIsUsed(t *testing.T) {
	c := qt.New(t)
	l := leadingLoop(t)
	l.callBudget = 0
	var commands []*call
	for i := range 5 {
		commands = append(commands, offer(t, l, usageCommand(i)))
	}
	renewals := []*call{
		offer(t, l, &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Renew{Renew: &masticproto.RenewRequest{Host: "h"}}}),
		offer(t, l, &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Renew{Renew: &masticproto.RenewRequest{Host: "i"}}}),
	}
	first, _ := l.queues.commands.Take()
	c.Assert((&batch{loop: l, commands: []*call{first}}).run(), qt.IsNil)
	for _, r := range renewals {
		c.Assert(r.answers, qt.HasLen, 1)
	}
	c.Assert(commands[0].answers, qt.HasLen, 1)
	c.Assert(l.queues.commands.Len(), qt.Equals, 4)
}

// TestViewsAreSentUnderLoad guards against a control host that sends no view while it always has committed entries to apply.
func TestViewsAreSentUnderLoad(t *testing.T) {
	c := qt.New(t)
	l := viewLoop(3, 0)
	w := newTestWatch(true)
	l.watchers = map[*watch]struct{}{w: {}}
	l.status.Leader, l.status.Applied, l.status.Commit, l.status.LastIndex = "b", 9, 9, 9
	now := time.Now()
	c.Assert(l.replays(now), qt.IsFalse)
	for i := range 3 {
		l.status.Commit, l.status.LastIndex, l.unfinished = 20, 25, true
		before := l.state.View().Revision()
		publishTo(l, fmt.Sprint("change", i), &masticproto.ViewChange{Hosts: []*masticproto.Host{
			{Name: fmt.Sprint("late", i), Address: fmt.Sprintf("10.9.9.%d:80", i+1), Zone: "z", State: "live"},
		}})
		l.markViewChanged(before)
		l.pushChanges(now)
		c.Assert(w.updates.Len(), qt.Equals, i+1)
	}
	l.status.Commit = l.status.Applied + maxAppliedLag + 1
	c.Assert(l.replays(now), qt.IsTrue)
}

// TestReportThatWaitedCountsOnce guards against a second end of a server, which a late copy of a report seemed to state: its ages did
// not contain the time that it had waited.
func TestReportThatWaitedCountsOnce(t *testing.T) {
	c := qt.New(t)
	l := leadingLoop(t)
	d := masticview.DigestOf([]byte("request"))
	report := func(waited time.Duration) {
		r := newCall(context.Background(), commandRequest(&masticproto.Command{Kind: &masticproto.Command_Suspect{Suspect: &masticproto.SuspectReport{
			Server: "engine", ServerIncarnation: "one", QuarantineAfter: 2, Digests: [][]byte{d[:]}, AgesMs: []int64{10}, FailedAgeMs: 5,
		}}}))
		r.receivedAt = r.receivedAt.Add(-waited)
		c.Assert(l.queues.offer(r), qt.IsNil)
		runBatch(t, l)
		c.Assert((<-r.answers).err, qt.IsNil)
	}
	report(0)
	time.Sleep(80 * time.Millisecond)
	report(400 * time.Millisecond)
	c.Assert(l.state.Suspects().MostFailures([][]byte{d[:]}), qt.Equals, 1)
	quarantined, _ := l.state.View().Quarantine(d)
	c.Assert(quarantined.Until.IsZero(), qt.IsTrue)
}
