package masticcontrol

import (
	"time"

	"masticladder/masticproto"
)

// addWatcher sends what the host lacks and then every update.
func (l *loop) addWatcher(w *watch) {
	l.dropEndedWatchers()
	l.watchers[w] = struct{}{}
	revision := w.call.request.GetWatch().GetRevision()
	w.call.answer(nil)
	if revision < l.state.View().Revision() {
		l.push(w, l.updateFrom(revision))
	}
}

// changedFrom notes that the view has changed since revision; the watchers are told once a
// turn: a change of weights makes some tens of revisions in one.
func (l *loop) changedFrom(revision uint64) {
	if l.state.View().Revision() > revision && !l.changed {
		l.changed, l.pushedRevision = true, revision
	}
}

// pushChanges tells the watchers what has changed since they were last told.
func (l *loop) pushChanges(now time.Time) {
	if l.changed && !now.Before(l.pushFrom) {
		l.changed = false
		l.pushFrom = now.Add(l.pushInterval)
		l.notify(l.pushedRevision)
	}
}

// notify pushes what followed revision to every watcher.
func (l *loop) notify(revision uint64) {
	if l.state.View().Revision() <= revision {
		return
	}
	l.dropEndedWatchers()
	if len(l.watchers) == 0 {
		return
	}
	l.pushAll(l.updateFrom(revision))
}

// notifySuspects pushes the suspects to every watcher when they are not those of the fingerprint.
func (l *loop) notifySuspects(fingerprint uint64) {
	if l.state.Suspects().Fingerprint() == fingerprint {
		return
	}
	l.dropEndedWatchers()
	l.pushAll(&masticproto.ViewUpdate{Suspects: l.suspectSet()})
}

func (l *loop) pushAll(u *masticproto.ViewUpdate) {
	for w := range l.watchers {
		l.push(w, u)
	}
}

// push ends the watch of a host that does not keep up.
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

// updateFrom returns what leads from revision to the present view.
func (l *loop) updateFrom(revision uint64) *masticproto.ViewUpdate {
	if deltas, ok := l.state.Deltas(revision); ok {
		return &masticproto.ViewUpdate{Deltas: append([]*masticproto.ViewDelta(nil), deltas...)}
	}
	return l.wholeView()
}

// wholeView returns the present view whole. It is built once a revision: after a loss of power
// all hosts ask for it at once, for 85 of them a tenth of a second of the leader.
func (l *loop) wholeView() *masticproto.ViewUpdate {
	view := l.state.View()
	if l.whole == nil || l.wholeRevision != view.Revision() {
		l.whole, l.wholeRevision = &masticproto.ViewUpdate{Whole: view.Snapshot()}, view.Revision()
	}
	return l.whole
}
