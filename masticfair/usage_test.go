package masticfair

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestShareRatioIsRelativeToWeight(t *testing.T) {
	c := qt.New(t)
	u := NewUsage()
	u.Add(start, "a", 1, 1000)
	u.Add(start, "b", 3, 1000)
	c.Assert(u.ShareRatio(start, "a"), qt.Equals, 2.0)
	c.Assert(u.ShareRatio(start, "b"), qt.Equals, 2.0/3)
	c.Assert(u.ShareRatio(start, "unknown"), qt.Equals, 0.0)
	u.Add(start.Add(usageHalfLife), "b", 3, 500)
	c.Assert(u.ShareRatio(start.Add(usageHalfLife), "a"), qt.Equals, 4.0/3)
}

func TestDecayedUsageIsRemoved(t *testing.T) {
	c := qt.New(t)
	u := NewUsage()
	for i := range 1000 {
		u.Add(start.Add(time.Duration(i)*time.Minute), fmt.Sprint(i), 1, 10)
	}
	c.Assert(len(u.workspaces) <= 2, qt.IsTrue, qt.Commentf("%d", len(u.workspaces)))
}
