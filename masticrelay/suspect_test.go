package masticrelay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// fakeSuspects records the reports and holds of a relay.
type fakeSuspects struct {
	suspected bool
	events    []string
}

func (f *fakeSuspects) Report(server, incarnation string, digests []masticview.Digest) {
	f.events = append(f.events, fmt.Sprintf("report %s %s %d", server, incarnation, len(digests)))
}

func (f *fakeSuspects) Suspected(masticview.Digest) bool { return f.suspected }

func (f *fakeSuspects) Hold(_ context.Context, _ masticview.Digest, server string, _ time.Time) (bool, error) {
	f.events = append(f.events, "hold "+server)
	return server != "s0", nil
}

func (f *fakeSuspects) Release(_ masticview.Digest, server string, completed bool) {
	f.events = append(f.events, fmt.Sprintf("release %s %t", server, completed))
}

// TestSuspectRunsOnlyUnderHold checks that a request under which servers have ended runs only on a
// server of which it has the hold, and that the hold is released with its outcome.
func TestSuspectRunsOnlyUnderHold(t *testing.T) {
	c := qt.New(t)
	a, b := newRawServer(c), newRawServer(c, okAnswer, notRunHead)
	route := once
	route.Timeout = 300 * time.Millisecond
	x := newFixture(c, route, a, b)
	x.suspects.suspected = true
	status, _, _ := x.send(c)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(x.suspects.events, qt.DeepEquals, []string{"hold s0", "hold s1", "release s1 true"})
	c.Assert(a.received(), qt.HasLen, 0)
	x.suspects.events = nil
	x.send(c)
	c.Assert(x.suspects.events[:3], qt.DeepEquals, []string{"hold s0", "hold s1", "release s1 false"})
}

// TestQuarantinedRequestTakesQuota: a request that was to be refused first waited for its workspace's
// quota, up to 250 ms.
func TestQuarantinedRequestTakesQuota(t *testing.T) {
	c := qt.New(t)
	s := newRawServer(c)
	b := newFixture(c, once, s)
	call := &Call{Method: http.MethodPost, Host: "host.example", URI: "/a/x?y=1", Body: []byte("the body")}
	content := contentOf(call, "mill")
	view, err := testView(c, once).Apply(&masticproto.ViewChange{Quarantines: []*masticproto.Quarantine{
		{Digest: content[:], UntilUnixMs: time.Now().Add(time.Minute).UnixMilli()},
	}}, time.Now())
	c.Assert(err, qt.IsNil)
	b.relay.SetView(view)
	status, _, _ := b.send(c)
	c.Assert(status, qt.Equals, masticerror.AnswerFor(masticerror.KindQuarantined).Status)
	c.Assert(s.received(), qt.HasLen, 0)
	c.Assert(b.limiter.admitted, qt.Equals, 0)
}

// TestOnlyEndedServerIsReported checks that a connection that breaks while the server accepts new
// ones is not reported, since the request has not ended the server.
func TestOnlyEndedServerIsReported(t *testing.T) {
	c := qt.New(t)
	alive := newRawServer(c, "CUT")
	x := newFixture(c, once, alive)
	x.send(c)
	c.Assert(x.suspects.events, qt.HasLen, 0)
	ends := newRawServer(c, "END")
	x = newFixture(c, once, ends)
	x.send(c)
	c.Assert(x.suspects.events, qt.DeepEquals, []string{"report s0 born 1"})
}
