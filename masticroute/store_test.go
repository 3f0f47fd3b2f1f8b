package masticroute

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStoreThatIsDownIsLeft replays a store that is down: each engine that was to fetch from
// it lost some hundred ms.
func TestStoreThatIsDownIsLeft(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	r := New(WithSharedLoad())
	r.stores = []store{{address: "store"}}
	late := &Work{Fetch: "store", StartedAt: now.Add(-time.Second), Predicted: 500 * time.Millisecond}
	soon := &Work{Fetch: "store", StartedAt: now.Add(-time.Second), Predicted: 900 * time.Millisecond}
	for range storeOverruns - 1 {
		r.observeStore(now, late)
	}
	r.observeStore(now, soon)
	for range storeOverruns - 1 {
		r.observeStore(now, late)
		c.Assert(r.storeUsable(now, "store"), qt.IsTrue)
	}
	r.observeStore(now, late)
	c.Assert(r.storeUsable(now, "store"), qt.IsFalse)
	c.Assert(r.storeUsable(now.Add(storePause), "store"), qt.IsTrue)
}
