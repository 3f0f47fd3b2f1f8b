package masticroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSmallOverdueRequestKeepsTheSpeed guards against a speed derived from less work than
// minSampleTokens. In TestOperationsPage on a loaded machine, a request of which all but two
// tokens were cached waited a second, the engine's speed fell to four tokens per second, and
// requests were refused since they would take minutes.
func TestSmallOverdueRequestKeepsTheSpeed(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	l := load{pending: []pendingRequest{{startedAt: now.Add(-minOverdueAge), tokens: 2}}}
	c.Assert(l.limitSpeed(now, defaultSpeed), qt.Equals, defaultSpeed)
}
