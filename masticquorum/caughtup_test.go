package masticquorum

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLearnerIsNotPromotedWhileEntriesAreCommitted: a learner had to have every committed entry at the instant of the check, and was
// never promoted under load.
func TestLearnerIsNotPromotedWhileEntriesAreCommitted(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000, 0)
	core := &Core{commit: 1_000}
	core.termStart = 900
	core.electionTimeout = time.Second
	for match, caughtUp := range map[uint64]bool{1_000: true, 999: true, 1_000 - maxLearnerLag: true, 1_000 - maxLearnerLag - 1: false, 0: false} {
		p := &progress{dataFolder: dataFolder{storage: "s"}, match: match, answeredRoundSentAt: now}
		c.Check(core.caughtUp(now, p), qt.Equals, caughtUp, qt.Commentf("match %d", match))
	}
	core.termStart = 990
	c.Check(core.caughtUp(now, &progress{dataFolder: dataFolder{storage: "s"}, match: 989, answeredRoundSentAt: now}), qt.IsFalse)
}
