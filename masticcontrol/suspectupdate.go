package masticcontrol

import (
	"time"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// suspectPushInterval is the minimum time between two pushes of suspects to the watchers. Crashes of several servers change the
// set hundreds of times a second.
const suspectPushInterval = 50 * time.Millisecond

// suspectUpdates are the messages with the suspects that hosts lack. Each is built once and shared.
type suspectUpdates struct {
	// pushed is the fingerprint at the last push, nextPush the earliest time of the next.
	pushed   uint64
	nextPush time.Time
	// whole and differences, by the fingerprint of the host's set, lead to the set with the fingerprint current.
	current     uint64
	whole       *masticproto.SuspectSet
	differences map[uint64]*masticproto.SuspectSet
	// built counts the digests in the messages that were built.
	built int
}

// suspectPushDue returns when the watchers are next sent the suspects, and false if they have been sent the current ones.
func (l *loop) suspectPushDue(now time.Time) (time.Time, bool) {
	return l.suspectUpdates.nextPush, l.state.Suspects().Fingerprint() != l.suspectUpdates.pushed && !l.replays(now)
}

// pushSuspects sends every watcher the suspects that have changed since the last push.
func (l *loop) pushSuspects(now time.Time) {
	u := &l.suspectUpdates
	if due, changed := l.suspectPushDue(now); !changed || now.Before(due) {
		return
	}
	before := u.pushed
	u.pushed = l.state.Suspects().Fingerprint()
	l.dropEndedWatchers()
	if len(l.watchers) == 0 {
		return
	}
	u.nextPush = now.Add(suspectPushInterval)
	for w := range l.watchers {
		l.push(w, &masticproto.ViewUpdate{Suspects: l.suspectsSince(before, w.call.request.GetWatch().GetSuspectDifferences())})
	}
}

// suspectsSince returns what a host lacks whose suspects have the given fingerprint: the difference if the host takes one and
// it is known and smaller, else all.
func (l *loop) suspectsSince(fingerprint uint64, takesDifference bool) *masticproto.SuspectSet {
	u, tracker := &l.suspectUpdates, l.state.Suspects()
	if u.differences == nil || u.current != tracker.Fingerprint() {
		u.current, u.whole, u.differences = tracker.Fingerprint(), nil, map[uint64]*masticproto.SuspectSet{}
	}
	if !takesDifference {
		return l.allSuspects()
	}
	if set, built := u.differences[fingerprint]; built {
		return set
	}
	set := l.suspectDifference(fingerprint)
	u.differences[fingerprint] = set
	return set
}

func (l *loop) suspectDifference(fingerprint uint64) *masticproto.SuspectSet {
	tracker := l.state.Suspects()
	suspects, others, known := tracker.Difference(fingerprint)
	if !known || len(suspects)+len(others) > tracker.SuspectCount() {
		return l.allSuspects()
	}
	l.suspectUpdates.built += len(suspects) + len(others)
	return &masticproto.SuspectSet{
		Fingerprint: tracker.Fingerprint(), Digests: digestBytes(suspects), Removed: digestBytes(others), Difference: true,
	}
}

func (l *loop) allSuspects() *masticproto.SuspectSet {
	u, tracker := &l.suspectUpdates, l.state.Suspects()
	if u.whole == nil {
		u.whole = &masticproto.SuspectSet{Fingerprint: tracker.Fingerprint(), Digests: digestBytes(tracker.Suspects())}
		u.built += len(u.whole.GetDigests())
	}
	return u.whole
}

func digestBytes(digests []masticview.Digest) [][]byte {
	out := make([][]byte, 0, len(digests))
	for _, d := range digests {
		out = append(out, d[:])
	}
	return out
}
