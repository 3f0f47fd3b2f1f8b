package masticsuspect

import (
	"slices"

	"masticladder/masticview"
)

// DefaultKeptChanges is the number of changes of the set of suspects that are kept for Difference.
const DefaultKeptChanges = 4096

// WithKeptChanges replaces DefaultKeptChanges.
func WithKeptChanges(n int) Option { return func(t *Tracker) { t.keptChanges = n } }

// suspectChange is a change of the set of suspects by one digest.
type suspectChange struct {
	// before is the fingerprint before the change.
	before uint64
	digest masticview.Digest
}

// keepChange keeps a change that follows the current fingerprint. The oldest are dropped half of DefaultKeptChanges at a time.
func (t *Tracker) keepChange(d masticview.Digest) {
	if t.keptChanges == 0 {
		return
	}
	if len(t.changes) >= t.keptChanges {
		t.changes = slices.Delete(t.changes, 0, (len(t.changes)+1)/2)
	}
	t.changes = append(t.changes, suspectChange{t.fingerprint, d})
}

// Difference returns the digests that have changed since the set of suspects last had a fingerprint, in ascending order: those
// that are suspects now and those that are not. It returns false if that is too long ago.
func (t *Tracker) Difference(since uint64) (suspects, others []masticview.Digest, known bool) {
	if since == t.fingerprint {
		return nil, nil, true
	}
	first := len(t.changes) - 1
	for first >= 0 && t.changes[first].before != since {
		first--
	}
	if first < 0 {
		return nil, nil, false
	}
	digests := make([]masticview.Digest, 0, len(t.changes)-first)
	for _, c := range t.changes[first:] {
		digests = append(digests, c.digest)
	}
	slices.SortFunc(digests, masticview.Digest.Compare)
	for _, d := range slices.Compact(digests) {
		if t.Suspect(d) {
			suspects = append(suspects, d)
		} else {
			others = append(others, d)
		}
	}
	return suspects, others, true
}

// SuspectCount returns the number of suspects. A digest that is both that of a request and of a part counts twice.
func (t *Tracker) SuspectCount() int { return t.suspectCount }
