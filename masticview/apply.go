package masticview

import (
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

// Bounds of a view and of its items.
const (
	// MaxNameBytes bounds a name or identifier.
	MaxNameBytes = 256
	// MaxRateTokens bounds a rate in tokens per second and a burst in tokens.
	MaxRateTokens = 1_000_000_000_000
	// MaxQuarantines bounds the quarantines of a view.
	MaxQuarantines = 4096
)

// Apply returns the next revision of v, with the items of change put and the quarantines
// that ended by at removed. The result depends on nothing else, so that all hosts agree.
//
// A withdrawn key stays withdrawn. A key keeps its digest and workspace, a profile its
// workspace, a workspace its owner. A retired host stays retired: leases, orders and usage
// are kept under a host's name, so another machine takes another name. A leaving host or
// a retired backend server may return. Error: badRequest, after which v is still current.
func (v View) Apply(change *masticproto.ViewChange, at time.Time) (View, error) {
	if err := checkDistinct(change); err != nil {
		return v, err
	}
	d := newDraft(v)
	d.expire(at)
	if err := d.put(change); err != nil {
		return v, err
	}
	next := d.view().WithRevision(v.revision + 1)
	if err := checkChange(v, next, change, at); err != nil {
		return v, err
	}
	return next, nil
}

// ApplyDelta returns the view that d makes of v. Error: conflict when d does not follow v's revision.
func (v View) ApplyDelta(d *masticproto.ViewDelta) (View, error) {
	if d.GetRevision() != v.revision+1 {
		return v, masticerror.New(masticerror.KindConflict, "revision %d does not follow %d", d.GetRevision(), v.revision)
	}
	return v.Apply(d.GetChange(), time.UnixMilli(d.GetAtUnixMs()))
}
