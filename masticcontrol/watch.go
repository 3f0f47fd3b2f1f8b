package masticcontrol

import (
	"time"

	"masticladder/masticclock"
	"masticladder/masticproto"
)

// addWatcher registers a watch and sends the host the changes that it lacks.
func (l *loop) addWatcher(w *watch) {
	l.dropEndedWatchers()
	l.watchers[w] = struct{}{}
	revision := w.call.request.GetWatch().GetRevision()
	w.call.answer(nil)
	switch {
	case l.replays(masticclock.Now()):
		l.viewChanged, l.pushedRevision = true, min(l.pushedRevision, revision)
	case revision < l.state.View().Revision():
		l.push(w, l.updateFrom(revision))
	}
}

// maxReplay is the time after its start at which a control host that has heard from no leader serves the view that it has.
const maxReplay = 3 * time.Second

// maxAppliedLag is the number of committed entries that a control host which had applied all since its start may have left to
// apply while it sends views. Under load it always has some left.
const maxAppliedLag = 64

// replays reports whether this host's view is one of the past, because it has not applied the entries of its log since it
// started, or many that are committed.
func (l *loop) replays(now time.Time) bool {
	l.heardLeader = l.heardLeader || l.status.Leader != "" || !now.Before(l.startedAt.Add(maxReplay))
	if l.caughtUp {
		return l.status.Applied+maxAppliedLag < l.status.Commit
	}
	replays := l.unfinished || l.status.Applied < l.status.Commit || !l.heardLeader && l.status.Applied < l.status.LastIndex
	l.caughtUp = !replays && l.status.Leader != "" && l.status.Applied >= min(l.loggedIndex, l.status.LastIndex)
	return replays
}

// markViewChanged records that the view has changed since revision. The watchers are sent changes
// once per batch, because a change of weights makes tens of revisions in one batch.
func (l *loop) markViewChanged(revision uint64) {
	if l.state.View().Revision() > revision && !l.viewChanged {
		l.viewChanged, l.pushedRevision = true, revision
	}
}

// pushChanges sends the watchers what has changed since the last push. Views of the past, which a restarted host goes
// through while it applies its log, are not sent: they may lack routes, keys and servers.
func (l *loop) pushChanges(now time.Time) {
	if l.viewChanged && !l.replays(now) && !now.Before(l.nextPush) {
		l.viewChanged = false
		l.nextPush = now.Add(l.pushInterval)
		l.pushSince(l.pushedRevision)
	}
}

// pushSince sends every watcher the changes since revision.
func (l *loop) pushSince(revision uint64) {
	if l.state.View().Revision() <= revision {
		return
	}
	l.dropEndedWatchers()
	if len(l.watchers) == 0 {
		return
	}
	l.pushAll(l.updateFrom(revision))
}

func (l *loop) pushAll(u *masticproto.ViewUpdate) {
	for w := range l.watchers {
		l.push(w, u)
	}
}

// push sends an update to one watcher. It ends the watch of a host that does not keep up.
func (l *loop) push(w *watch, u *masticproto.ViewUpdate) {
	a := &masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_View{View: u}}
	if err := w.updates.Offer(a); err != nil {
		w.updates.Close()
		delete(l.watchers, w)
	}
}

func (l *loop) dropEndedWatchers() {
	for w := range l.watchers {
		if w.call.abandoned() {
			delete(l.watchers, w)
		}
	}
}

// updateFrom returns the update from revision to the current view: deltas if they are still kept,
// else the full view.
func (l *loop) updateFrom(revision uint64) *masticproto.ViewUpdate {
	if deltas, ok := l.state.Deltas(revision); ok {
		return &masticproto.ViewUpdate{Deltas: append([]*masticproto.ViewDelta(nil), deltas...)}
	}
	return l.fullViewUpdate()
}

// maxFullViewAge bounds the age of the time that a full view states.
const maxFullViewAge = time.Second

// fullViewUpdate returns the full current view. It is built once per revision: after a power loss
// all hosts request it at once, and building it for each of 85 hosts takes the leader a tenth of
// a second.
func (l *loop) fullViewUpdate() *masticproto.ViewUpdate {
	view, at := l.state.View(), l.state.Now().UnixMilli()
	switch {
	case l.fullView == nil || l.fullViewRevision != view.Revision():
		whole := view.Snapshot()
		whole.AtUnixMs = at
		l.fullView, l.fullViewRevision = &masticproto.ViewUpdate{Whole: whole}, view.Revision()
	case at-l.fullView.GetWhole().GetAtUnixMs() > maxFullViewAge.Milliseconds():
		whole := l.fullView.GetWhole()
		l.fullView = &masticproto.ViewUpdate{Whole: &masticproto.ViewSnapshot{Revision: whole.GetRevision(), Items: whole.GetItems(), AtUnixMs: at}}
	}
	return l.fullView
}
