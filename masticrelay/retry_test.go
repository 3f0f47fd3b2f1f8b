package masticrelay

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
)

// TestStoppingControlHostSendsCallersAwayForLong: a request that was refused because a control host was stopping, not this one, was
// told to come back after a second.
func TestStoppingControlHostSendsCallersAwayForLong(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c, safe)
	e := notRunError(b.relay, masticerror.New(masticerror.KindDraining, "this control host stops"))
	c.Assert(e.Kind(), qt.Equals, masticerror.KindDraining)
	c.Assert(e.NotRun(), qt.IsTrue)
	c.Assert(e.RetryAfter() < minRetryAfter+retryAfterJitter, qt.IsTrue)
}
