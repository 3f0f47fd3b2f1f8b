package masticroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSmallOverdueRequestKeepsTheSpeed replays TestOperationsPage on a loaded machine: a
// request of which all but two tokens were cached waited a second, the engine's speed fell
// to four tokens a second, and requests were refused since they would take minutes. Less
// work than minSample measures no speed.
func TestSmallOverdueRequestKeepsTheSpeed(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	l := load{pending: []pending{{startedAt: now.Add(-minOverdue), tokens: 2}}}
	c.Assert(l.bound(now, priorSpeed), qt.Equals, priorSpeed)
}
