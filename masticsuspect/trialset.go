package masticsuspect

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// maxTrialDigests bounds the parts of all trial sets together.
const maxTrialDigests = 1 << 16

// trialSets hold, by incarnation, the parts that were tried on servers that failed, in ascending order. Any of them may be to
// blame for the failure: they are each other's company. Sets are shared, and never changed.
type trialSets map[string][]masticview.Digest

func setOf(parts []masticview.Digest) map[masticview.Digest]bool {
	out := make(map[masticview.Digest]bool, len(parts))
	for _, d := range parts {
		out[d] = true
	}
	return out
}

func (s trialSets) put(incarnation string, parts []masticview.Digest) { s[incarnation] = parts }

// common returns the parts that were tried in all trials of p that failed, p's own among them. An evicted set leaves out none.
func (s trialSets) common(p part) []masticview.Digest {
	var out []masticview.Digest
	first := true
	for _, incarnation := range p.trials() {
		set, ok := s[incarnation]
		switch {
		case !ok:
		case first:
			out, first = set, false
		default:
			out = intersection(out, set)
		}
	}
	return out
}

// intersection returns what two ascending lists have in common.
func intersection(a, b []masticview.Digest) []masticview.Digest {
	var out []masticview.Digest
	for len(a) > 0 && len(b) > 0 {
		switch order := a[0].Compare(b[0]); {
		case order < 0:
			a = a[1:]
		case order > 0:
			b = b[1:]
		default:
			out = append(out, a[0])
			a, b = a[1:], b[1:]
		}
	}
	return out
}

// company returns the parts that may be to blame instead of part d: they were in all of its trials that failed.
func (s trialSets) company(d masticview.Digest, p part) []masticview.Digest {
	var out []masticview.Digest
	for _, o := range s.common(p) {
		if o != d {
			out = append(out, o)
		}
	}
	return out
}

// allIn reports whether the company of p is in parts.
func (s trialSets) allIn(p part, parts map[masticview.Digest]bool) bool {
	for _, d := range s.common(p) {
		if !parts[d] {
			return false
		}
	}
	return true
}

// evict removes the sets to which no part refers any more, and the oldest ones while they are too large.
func (s trialSets) evict(parts map[masticview.Digest]part) {
	failedAt := map[string]int64{}
	for _, p := range parts {
		for _, f := range p.failures {
			if f.trial {
				failedAt[f.incarnation] = max(failedAt[f.incarnation], f.failedAt)
			}
		}
	}
	newestFirst := slices.SortedFunc(maps.Keys(s), func(a, b string) int {
		return cmp.Or(cmp.Compare(failedAt[b], failedAt[a]), cmp.Compare(a, b))
	})
	total := 0
	for _, incarnation := range newestFirst {
		_, used := failedAt[incarnation]
		total += len(s[incarnation])
		if !used || total > maxTrialDigests {
			total -= len(s[incarnation])
			delete(s, incarnation)
		}
	}
}

// evictTrials removes the sets of Tracker.trials to which no part refers any more, and the oldest ones while they are too large.
func (t *Tracker) evictTrials() {
	for incarnation := range t.index.untried {
		t.visited++
		if len(t.index.tried[incarnation]) == 0 {
			delete(t.trials, incarnation)
		}
	}
	clear(t.index.untried)
	if !t.trialsAdded {
		return
	}
	t.trialsAdded = false
	t.visited += len(t.trials)
	if t.trials.digests() > maxTrialDigests {
		t.visited += len(t.parts)
		t.trials.evict(t.parts)
	}
}

// digests returns the number of parts of all sets.
func (s trialSets) digests() int {
	total := 0
	for _, set := range s {
		total += len(set)
	}
	return total
}

// Representatives returns those of the given parts that stand for the quarantined parts which have the same company: a request
// with one of these and its company has all of them.
func (t *Tracker) Representatives(digests []masticview.Digest) []masticview.Digest {
	least := map[string]masticview.Digest{}
	var out []masticview.Digest
	for _, d := range digests {
		p, ok := t.parts[d]
		key := strings.Join(p.trials(), restartSeparator+nameSeparator)
		if !ok || !p.quarantined() || key == "" {
			out = append(out, d)
			continue
		}
		if other, ok := least[key]; !ok || d.Compare(other) < 0 {
			least[key] = d
		}
	}
	for _, d := range least {
		out = append(out, d)
	}
	slices.SortFunc(out, masticview.Digest.Compare)
	return out
}

// representedBy returns the quarantined parts that have the same company as part d.
func (t *Tracker) representedBy(d masticview.Digest) []masticview.Digest {
	p := t.parts[d]
	if !p.quarantined() || len(p.trials()) == 0 {
		return nil
	}
	return slices.DeleteFunc(t.QuarantinedParts(), func(o masticview.Digest) bool { return !slices.Equal(t.parts[o].trials(), p.trials()) })
}

// QuarantinedParts returns the quarantined parts in ascending order.
func (t *Tracker) QuarantinedParts() []masticview.Digest {
	var out []masticview.Digest
	for d, p := range t.parts {
		if p.quarantined() {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, masticview.Digest.Compare)
	return out
}

func (s trialSets) snapshot() []*masticproto.TrialRecord {
	var out []*masticproto.TrialRecord
	for _, incarnation := range slices.Sorted(maps.Keys(s)) {
		r := &masticproto.TrialRecord{Incarnation: incarnation}
		for _, d := range s[incarnation] {
			r.Parts = append(r.Parts, d[:]...)
		}
		out = append(out, r)
	}
	return out
}

// restore adds the sets of a snapshot. Snapshots of earlier versions state the company with each failure.
func (s trialSets) restore(from *masticproto.SuspectSnapshot) error {
	for _, r := range from.GetTrials() {
		var set []masticview.Digest
		for b := range slices.Chunk(r.GetParts(), len(masticview.Digest{})) {
			d, err := masticview.DigestFromBytes(b)
			if err != nil {
				return err
			}
			set = append(set, d)
		}
		s[r.GetIncarnation()] = set
	}
	for _, r := range from.GetParts() {
		for _, f := range r.GetFailures() {
			if err := s.restoreCompany(r.GetDigest(), f); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s trialSets) restoreCompany(digest []byte, f *masticproto.PartFailure) error {
	if !f.GetTrial() || len(f.GetCompany()) == 0 {
		return nil
	}
	set := slices.Clone(s[f.GetIncarnation()])
	for _, b := range append([][]byte{digest}, f.GetCompany()...) {
		d, err := masticview.DigestFromBytes(b)
		if err != nil {
			return masticerror.Wrap(err, masticerror.KindBadRequest, "the company of a part")
		}
		if i, found := slices.BinarySearchFunc(set, d, masticview.Digest.Compare); !found {
			set = slices.Insert(set, i, d)
		}
	}
	s[f.GetIncarnation()] = set
	return nil
}
