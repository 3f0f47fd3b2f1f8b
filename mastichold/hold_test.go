package mastichold

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// fakeHolds grants a hold of each server that no other suspect holds.
type fakeHolds struct {
	suspected bool
	// heldUntil is when the hold of another suspect on a server ends.
	heldUntil map[string]time.Time
	err       error
	// deadline is that of the last hold.
	deadline time.Time
}

func (h *fakeHolds) Suspected(masticcall.Content) bool { return h.suspected }

func (h *fakeHolds) Turn(context.Context, masticcall.Content) error { return nil }

func (h *fakeHolds) EndTurn(masticcall.Content) {}

func (h *fakeHolds) Hold(_ context.Context, _ masticcall.Content, server string, deadline time.Time) (masticcall.HoldOutcome, time.Duration, error) {
	h.deadline = deadline
	if h.err != nil || time.Now().Before(h.heldUntil[server]) {
		return masticcall.HoldServerBusy, 0, h.err
	}
	return masticcall.HoldGranted, 0, nil
}

func (h *fakeHolds) Release(masticcall.Content, string, bool) {}

// fakeServers assigns the first server that is not to be avoided, and counts the open assignments.
type fakeServers struct {
	names []string
	open  int
}

func (s *fakeServers) acquire(_ context.Context, unavailable []string) (masticcall.Assignment, error) {
	for _, name := range s.names {
		if !slices.Contains(unavailable, name) {
			s.open++
			return &fakeAssignment{servers: s, name: name}, nil
		}
	}
	return nil, masticerror.New(masticerror.KindNoServer, "none is left")
}

type fakeAssignment struct {
	masticcall.Assignment
	servers *fakeServers
	name    string
}

func (a *fakeAssignment) Server() masticview.Server         { return masticview.Server{Name: a.name} }
func (a *fakeAssignment) Done(time.Time, masticcall.Result) { a.servers.open-- }

func TestSuspectRunsOnlyOnServerThatNoOtherSuspectHolds(t *testing.T) {
	noControl := masticerror.New(masticerror.KindNoQuorum, "no leader")
	for _, x := range []struct {
		name      string
		suspected bool
		heldFor   map[string]time.Duration
		holdError error
		// server is empty if none is to be acquired.
		server string
		held   bool
		waited time.Duration
	}{
		{"no suspect needs no hold", false, map[string]time.Duration{"a": time.Hour}, nil, "a", false, 0},
		{"a free server", true, nil, nil, "a", true, 0},
		{"another server", true, map[string]time.Duration{"a": time.Hour}, nil, "b", true, 0},
		{"all are held for a while", true, map[string]time.Duration{"a": time.Hour, "b": 3 * RetryInterval}, nil, "b", true, 3 * RetryInterval},
		{"all are held for too long", true, map[string]time.Duration{"a": time.Hour, "b": time.Hour}, nil, "", false, time.Second},
		{"no control group", true, nil, noControl, "", false, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				holds := &fakeHolds{suspected: x.suspected, heldUntil: map[string]time.Time{}, err: x.holdError}
				for server, d := range x.heldFor {
					holds.heldUntil[server] = began.Add(d)
				}
				servers := &fakeServers{names: []string{"a", "b"}}
				a, held, err := Acquire(ctx, Request{Holds: holds, Deadline: began.Add(time.Second), Acquire: servers.acquire, Now: time.Now})
				c.Assert(held, qt.Equals, x.held)
				c.Assert(time.Since(began), qt.Equals, x.waited)
				if x.server == "" {
					c.Assert(errors.Is(err, x.holdError) || errors.Is(err, context.DeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
					c.Assert(servers.open, qt.Equals, 0)
					return
				}
				c.Assert(err, qt.IsNil)
				c.Assert(a.Server().Name, qt.Equals, x.server)
				c.Assert(servers.open, qt.Equals, 1)
			})
		})
	}
}

// TestHoldEndsBeforeItsServerIsKnownToHaveEnded: the hold of a request that was given up at its deadline ended with it, and another
// request with the same part ran before the failure was reported.
func TestHoldEndsBeforeItsServerIsKnownToHaveEnded(t *testing.T) {
	c := qt.New(t)
	deadline := time.Now().Add(time.Minute)
	holds, servers := &fakeHolds{suspected: true}, &fakeServers{names: []string{"a"}}
	_, held, err := Acquire(t.Context(), Request{Holds: holds, Deadline: deadline, Acquire: servers.acquire, Now: time.Now})
	c.Assert(err, qt.IsNil)
	c.Assert(held, qt.IsTrue)
	c.Assert(holds.deadline.After(deadline.Add(500*time.Millisecond)), qt.IsTrue)
}
