package masticrelay

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus/hooks/test"

	"masticladder/masticbody"
	"masticladder/masticdocument"
	"masticladder/masticproto"
)

// TestRequestQuarantinedByItsOwnAttemptsGets422: a caller whose own attempt had ended the last server before
// the quarantine got 422, which is none of the statuses for a request that may have run.
func TestRequestQuarantinedByItsOwnAttemptsGets422(t *testing.T) {
	c := qt.New(t)
	route := once
	route.Repeat, route.Attempts = masticdocument.RetryIdempotent, 3
	b := newFixture(c, route, newRawServer(c, "END"), newRawServer(c))
	content := digestOf(&Call{Method: http.MethodPost, Host: "host.example", URI: "/a/x?y=1", Body: masticbody.Of([]byte("the body"))}, "mill")
	b.dispatcher.beforeAssign = func(assigned int) {
		if assigned == 0 {
			return
		}
		view, err := testView(c, route).Apply(&masticproto.ViewChange{Quarantines: []*masticproto.Quarantine{
			{Digest: content[:], UntilUnixMs: time.Now().Add(time.Minute).UnixMilli()},
		}}, time.Now())
		c.Assert(err, qt.IsNil)
		b.relay.SetView(view)
	}
	status, _, _ := b.send(c)
	c.Assert(status, qt.Equals, http.StatusBadGateway)
}

// TestOutcomeBeforeADeadlineStatesItsTime: the line of a request without a deadline yet had the smallest number as its time left.
func TestOutcomeBeforeADeadlineStatesItsTime(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c, safe)
	log, lines := test.NewNullLogger()
	b.relay.log = log
	a, err := http.Get(b.front.URL + "/unknown")
	c.Assert(err, qt.IsNil)
	c.Assert(a.Body.Close(), qt.IsNil)
	c.Assert(lines.LastEntry().Data["reason"], qt.Equals, "notFound")
	_, stated := lines.LastEntry().Data["leftMillis"]
	c.Assert(stated, qt.IsFalse)
}
