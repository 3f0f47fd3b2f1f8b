package masticview

import (
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

// Limits of a view and of its items.
const (
	// MaxNameBytes is the maximum length of a name or identifier.
	MaxNameBytes = 256
	// MaxRateTokens is the maximum of a rate in tokens per second, of a burst in tokens, and of the
	// output tokens of one request.
	MaxRateTokens = 1_000_000_000_000
	// MaxQuarantines is the maximum number of quarantines in a view.
	MaxQuarantines = 4096
)

// Apply returns the next revision of v: it adds, replaces and removes items as change says, and
// removes the quarantines that end at or before at. The result depends only on v and the
// arguments, so that all hosts compute the same view.
//
// A withdrawn key stays withdrawn. The digest and workspace of a key, the workspace of a profile
// and the owner of a workspace do not change. A retired host stays retired: leases, orders and
// usage are stored under a host's name, so a new machine needs a new name. A leaving host or a
// retired backend server may become active again. The error has kind badRequest; Apply then
// returns v.
func (v View) Apply(change *masticproto.ViewChange, at time.Time) (View, error) {
	if err := checkDistinct(change); err != nil {
		return v, err
	}
	d := newDraft(v)
	d.removeExpiredQuarantines(at)
	if err := d.put(change); err != nil {
		return v, err
	}
	next := d.view().WithRevision(v.revision + 1)
	if err := checkChange(v, next, change, at); err != nil {
		return v, err
	}
	return next, nil
}

// ApplyDelta returns the view that results from applying d to v. The error has kind conflict if d
// is not for the revision after v's, and badRequest as with Apply.
func (v View) ApplyDelta(d *masticproto.ViewDelta) (View, error) {
	if d.GetRevision() != v.revision+1 {
		return v, masticerror.New(masticerror.KindConflict, "revision %d does not follow %d", d.GetRevision(), v.revision)
	}
	return v.Apply(d.GetChange(), time.UnixMilli(d.GetAtUnixMs()))
}
