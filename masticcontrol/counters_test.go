package masticcontrol

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestListAge checks that the age of a list that was never read is minus one millisecond, and
// that a failed read does not change the age.
func TestListAge(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	var x Counters
	x.recordList(now, errors.New("no answer"))
	c.Assert(x.ListAge(now).Milliseconds(), qt.Equals, int64(-1))
	x.recordList(now, nil)
	x.recordList(now.Add(time.Second), errors.New("no answer"))
	c.Assert(x.ListAge(now.Add(2*time.Second)), qt.Equals, 2*time.Second)
	c.Assert(x.ListFailures.Load(), qt.Equals, int64(2))
}
