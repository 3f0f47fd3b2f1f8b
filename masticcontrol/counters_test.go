package masticcontrol

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestListAge: a list that was never read shows as minus one millisecond, and a reading that
// failed changes the age of none.
func TestListAge(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	var x Counters
	x.noteList(now, errors.New("no answer"))
	c.Assert(x.ListAge(now).Milliseconds(), qt.Equals, int64(-1))
	x.noteList(now, nil)
	x.noteList(now.Add(time.Second), errors.New("no answer"))
	c.Assert(x.ListAge(now.Add(2*time.Second)), qt.Equals, 2*time.Second)
	c.Assert(x.ListFailures.Load(), qt.Equals, int64(2))
}
