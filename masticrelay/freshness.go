package masticrelay

import "masticladder/masticerror"

// WithFreshness makes the relay refuse calls as not run that it would reject for their route or key while it knows that its view is
// outdated.
func WithFreshness(f Freshness) Option { return func(c *Relay) { c.freshness = f } }

// Freshness tells whether the host's view is the newest one.
type Freshness interface {
	// Outdated reports whether the host knows of a newer view than its own.
	Outdated() bool
}

// outdatedOr returns err, or a refusal to be retried soon if the host knows that a newer view than its own exists: the newest document
// may have the route or the key.
func (c *Relay) outdatedOr(err *masticerror.Error) *masticerror.Error {
	if c.freshness == nil || !c.freshness.Outdated() {
		return err
	}
	c.metrics.outdated.Inc(1)
	return unavailable(c, masticerror.KindNoLease, "this host does not have the newest view yet: %s", err.Message())
}
