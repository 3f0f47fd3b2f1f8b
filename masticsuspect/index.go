package masticsuspect

import (
	"slices"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// setIndex holds the values that have a property, by property.
type setIndex[K, V comparable] map[K]map[V]struct{}

func (x setIndex[K, V]) add(key K, v V) {
	set, ok := x[key]
	if !ok {
		set = map[V]struct{}{}
		x[key] = set
	}
	set[v] = struct{}{}
}

func (x setIndex[K, V]) remove(key K, v V) {
	set := x[key]
	delete(set, v)
	if len(set) == 0 {
		delete(x, key)
	}
}

// index finds the records that a report concerns, so that its cost does not depend on the number of all of them. It follows
// from the records and is no part of snapshots.
type index struct {
	// lostRecords and lostParts are the requests and the parts with the failure of a lost incarnation, by incarnation.
	lostRecords, lostParts setIndex[string, masticview.Digest]
	// tried are the parts with the failure of a trial, by incarnation, and triedAt by the time of that failure, in units
	// of settleTime. untried are incarnations that were removed from tried and may have a set in Tracker.trials.
	tried   setIndex[string, masticview.Digest]
	triedAt setIndex[int64, masticview.Digest]
	untried map[string]struct{}
	// shared are the parts with a failure that is not that of a trial, and with others, by its incarnation.
	shared setIndex[string, masticview.Digest]
	// holdsOn, holdsOf and holdsWith are the names of holds by server, by digest of the request and by part.
	holdsOn   setIndex[string, string]
	holdsOf   setIndex[string, string]
	holdsWith setIndex[masticview.Digest, string]
}

func newIndex() index {
	return index{
		lostRecords: setIndex[string, masticview.Digest]{}, lostParts: setIndex[string, masticview.Digest]{},
		tried: setIndex[string, masticview.Digest]{}, triedAt: setIndex[int64, masticview.Digest]{}, untried: map[string]struct{}{},
		shared:  setIndex[string, masticview.Digest]{},
		holdsOn: setIndex[string, string]{}, holdsOf: setIndex[string, string]{}, holdsWith: setIndex[masticview.Digest, string]{},
	}
}

// replaceRecord replaces the lost incarnations of a request.
func (x index) replaceRecord(d masticview.Digest, before, after record) {
	for _, incarnation := range before.lost {
		x.lostRecords.remove(incarnation, d)
	}
	for _, incarnation := range after.lost {
		x.lostRecords.add(incarnation, d)
	}
}

// replacePart replaces the failures of a part.
func (x index) replacePart(d masticview.Digest, before, after part) {
	if slices.Equal(before.failures, after.failures) {
		return
	}
	for _, f := range before.failures {
		x.lostParts.remove(f.incarnation, d)
		x.shared.remove(f.incarnation, d)
		x.tried.remove(f.incarnation, d)
		x.triedAt.remove(settleUnit(f.failedAt), d)
		if f.trial && len(x.tried[f.incarnation]) == 0 {
			x.untried[f.incarnation] = struct{}{}
		}
	}
	for _, f := range after.failures {
		if f.lost {
			x.lostParts.add(f.incarnation, d)
		}
		if f.trial {
			x.tried.add(f.incarnation, d)
			x.triedAt.add(settleUnit(f.failedAt), d)
		} else if len(after.failures) > 1 {
			x.shared.add(f.incarnation, d)
		}
	}
}

// settleUnit returns the number of the period of settleTime in which a time is.
func settleUnit(unixMs int64) int64 { return unixMs / settleTime.Milliseconds() }

func (x index) addHold(name string, h *masticproto.SuspectHold) {
	x.holdsOn.add(h.GetServer(), name)
	x.holdsOf.add(string(h.GetDigest()), name)
	for _, d := range digestsOf(h.GetParts()) {
		x.holdsWith.add(d, name)
	}
}

func (x index) removeHold(name string, h *masticproto.SuspectHold) {
	x.holdsOn.remove(h.GetServer(), name)
	x.holdsOf.remove(string(h.GetDigest()), name)
	for _, d := range digestsOf(h.GetParts()) {
		x.holdsWith.remove(d, name)
	}
}
