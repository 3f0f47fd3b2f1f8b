package masticgate

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestQuotaIsWaitedForNoLongerThanTheFirstTokenIsDue: a request that no grant can save in
// time is refused then, not at the end of its whole deadline.
func TestQuotaIsWaitedForNoLongerThanTheFirstTokenIsDue(t *testing.T) {
	c := qt.New(t)
	b := newBed(t)
	b.addEngine("engine")
	b.start()
	profile, ok := b.views.View().Profile("review")
	c.Assert(ok, qt.IsTrue)
	r, _ := b.stream("short")
	c.Assert(r.status, qt.Equals, http.StatusOK)
	latest := time.Now().Add(time.Duration(profile.FirstTokenMillis) * time.Millisecond)
	b.limiter.mu.Lock()
	defer b.limiter.mu.Unlock()
	c.Assert(b.limiter.deadline.IsZero(), qt.IsFalse)
	c.Assert(b.limiter.deadline.After(latest), qt.IsFalse)
}
