package masticcontrol

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
)

// TestRestartedHostPushesViewsOfThePast: while a control host applied its log after a restart, it sent hosts that had lost theirs views without
// the routes, keys and servers of later entries.
func TestRestartedHostPushesViewsOfThePast(t *testing.T) {
	c := qt.New(t)
	l := viewLoop(3, 0)
	l.watchers = map[*watch]struct{}{}
	now := time.Now()
	l.startedAt = now
	l.status.LastIndex = 9
	w := &watch{call: newCall(context.Background(), &masticproto.PeerRequest{}), updates: newUpdates()}
	l.addWatcher(w)
	c.Assert(w.updates.Len(), qt.Equals, 0)
	answer := &masticproto.RenewAnswer{}
	l.addUpdates(answer, &masticproto.RenewRequest{})
	c.Assert(answer.GetUpdate(), qt.IsNil)

	// The leader says that entries up to 9 are committed.
	l.status.Leader, l.status.Commit = "b", 9
	publishTo(l, "second", &masticproto.ViewChange{RemovedServers: []string{"none"}, Hosts: []*masticproto.Host{{Name: "late", Address: "10.9.9.9:80", Zone: "z", State: "live"}}})
	l.pushChanges(now)
	c.Assert(w.updates.Len(), qt.Equals, 0)

	l.status.Applied = 9
	l.pushChanges(now)
	c.Assert(w.updates.Len(), qt.Equals, 1)
	update := (<-w.updates.Out()).GetView()
	revision := update.GetWhole().GetRevision()
	if n := len(update.GetDeltas()); n > 0 {
		revision = update.GetDeltas()[n-1].GetRevision()
	}
	c.Assert(revision, qt.Equals, l.state.View().Revision())
}

// TestHostWithoutLeaderServesItsView checks that a control host that hears from no leader serves the view that it has after a while.
func TestHostWithoutLeaderServesItsView(t *testing.T) {
	c := qt.New(t)
	l := viewLoop(3, 0)
	l.startedAt = time.Now()
	l.status.LastIndex = 9
	c.Assert(l.replays(l.startedAt), qt.IsTrue)
	c.Assert(l.replays(l.startedAt.Add(maxReplay)), qt.IsFalse)
}
