package masticrelay

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticdocument"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// accounts is a limiter that keeps what each workspace was admitted for and used. It admits none of the workspaces in full.
type accounts struct {
	admitted, used map[string]int64
	open           int
	full           map[string]bool
}

// account is an admission of a workspace.
type account struct {
	accounts  *accounts
	workspace string
}

func (a *accounts) Admit(_ context.Context, workspace string, tokens int64, _ time.Time) (masticcall.Admission, error) {
	if a.full[workspace] {
		return nil, masticerror.New(masticerror.KindRateLimited, "full")
	}
	a.admitted[workspace] += tokens
	a.open++
	return account{a, workspace}, nil
}

func (a account) Settle(used int64) {
	a.accounts.used[a.workspace] += used
	a.accounts.open--
}

// movedDocument returns a document with a limited workspace called name that has the test's key, and a second one without a key.
func movedDocument(number int64, route masticdocument.Route, name string, public bool) masticdocument.Document {
	route.Name, route.Hostname, route.Prefix, route.Public = "r", "host.example", "/a/", public
	route.Targets, route.Timeout = []masticdocument.Target{{Pool: "p", Weight: 1}}, 5*time.Second
	d := masticdocument.Document{
		Number: number, Routes: []masticdocument.Route{route}, Pools: []masticdocument.Pool{{Name: "p"}},
		Workspaces: []masticdocument.Workspace{{Name: "other", Keys: []masticview.Digest{masticview.DigestOf([]byte("other"))}}},
	}
	if name != "" {
		d.Workspaces = append(d.Workspaces, masticdocument.Workspace{
			Name: name, Keys: []masticview.Digest{masticview.DigestOf([]byte(testKey))}, RateTokensPerSecond: 1000, BurstTokens: 1000, DefaultTokens: 7,
		})
	}
	return d
}

// changingLimiter changes the document while a request waits for the quota of yard.
type changingLimiter struct {
	accounts
	change func()
}

func (l *changingLimiter) Admit(ctx context.Context, workspace string, tokens int64, by time.Time) (masticcall.Admission, error) {
	if workspace == "yard" {
		l.change()
	}
	return l.accounts.Admit(ctx, workspace, tokens, by)
}

// TestKeyThatMovesOnIsServedUnderItsFormerWorkspace: after the wait for the quota of the new workspace, nothing looked whether the key had moved on
// or was withdrawn, or the caller had left.
func TestKeyThatMovesOnIsServedUnderItsFormerWorkspace(t *testing.T) {
	c := qt.New(t)
	server := newRawServer(c, okAnswer, okAnswer)
	b := newFixture(c, once, server)
	view, number := masticview.View{}, int64(1)
	change := func(name string) {
		number++
		next, err := view.Apply(viewChange(movedDocument(number, once, name, false)), time.Now())
		c.Assert(err, qt.IsNil)
		view = next
		b.relay.SetView(view)
	}
	change("mill")
	limits := &changingLimiter{accounts: accounts{admitted: map[string]int64{}, used: map[string]int64{}}, change: func() { change("third") }}
	b.relay.limiter = limits
	b.dispatcher.beforeAssign = func(int) { change("yard") }
	status, _, _ := b.send(c)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(server.received()[0].Header.Get("Workspace"), qt.Equals, "third")
	c.Assert(limits.used, qt.DeepEquals, map[string]int64{"mill": 0, "yard": 0, "third": 7})

	change("mill")
	limits.change = func() { change("") }
	status, _, _ = b.send(c)
	c.Assert(status, qt.Equals, http.StatusUnauthorized)
	c.Assert(server.received(), qt.HasLen, 1)
	c.Assert(limits.open, qt.Equals, 0)
}

// TestKeyThatMovesWhileItsRequestWaitsIsRefused: a request that waited for a server while a document moved its key to another workspace
// was answered 401, after which no caller asks again. It runs as a request of the new workspace, which is charged for it.
func TestKeyThatMovesWhileItsRequestWaitsIsRefused(t *testing.T) {
	for _, x := range []struct {
		name   string
		route  masticdocument.Route
		first  string
		after  string
		public bool
		full   bool
		// changedAt is the number of assignments before the document changes.
		changedAt int
		status    int
		// workspaces are those that each server was told.
		workspaces []string
		used       map[string]int64
	}{
		{name: "moves", route: once, first: okAnswer, after: "yard", status: 200, workspaces: []string{"yard"}, used: map[string]int64{"mill": 0, "yard": 7}},
		{name: "moves before it is sent again", route: safe, first: failure, after: "yard", changedAt: 1, status: 200, workspaces: []string{"mill", "yard"}, used: map[string]int64{"mill": 7, "yard": 7}},
		{name: "moves to a workspace over its rate", route: once, first: okAnswer, after: "yard", full: true, status: 429, used: map[string]int64{"mill": 0}},
		{name: "withdrawn, and the route is public", route: once, first: okAnswer, public: true, status: 200, workspaces: []string{""}, used: map[string]int64{"mill": 0}},
		{name: "withdrawn", route: once, first: okAnswer, status: 401, used: map[string]int64{"mill": 0}},
		{name: "stays", route: once, first: okAnswer, after: "mill", status: 200, workspaces: []string{"mill"}, used: map[string]int64{"mill": 7}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			first, second := newRawServer(c, x.first), newRawServer(c, okAnswer)
			b := newFixture(c, x.route, first, second)
			limits := &accounts{admitted: map[string]int64{}, used: map[string]int64{}, full: map[string]bool{"yard": x.full}}
			b.relay.limiter = limits
			before, err := masticview.View{}.Apply(viewChange(movedDocument(2, x.route, "mill", false)), time.Now())
			c.Assert(err, qt.IsNil)
			after, err := before.Apply(viewChange(movedDocument(3, x.route, x.after, x.public)), time.Now())
			c.Assert(err, qt.IsNil)
			b.relay.SetView(before)
			b.dispatcher.beforeAssign = func(assigned int) {
				if assigned == x.changedAt {
					b.relay.SetView(after)
				}
			}
			status, _, _ := b.send(c)
			c.Assert(status, qt.Equals, x.status)
			var told []string
			for _, q := range append(first.received(), second.received()...) {
				told = append(told, q.Header.Get("Workspace"))
			}
			c.Assert(told, qt.DeepEquals, x.workspaces)
			c.Assert(limits.used, qt.DeepEquals, x.used)
			c.Assert(limits.open, qt.Equals, 0)
			c.Assert(b.dispatcher.results, qt.HasLen, b.dispatcher.assigned)
			c.Assert(x.status == http.StatusOK, qt.Equals, len(x.workspaces) > 0)
		})
	}
}
