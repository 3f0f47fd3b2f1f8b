package masticledger

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticproto"
)

func newReserve(now time.Time, key string, request, attempt int) *masticproto.Reserve {
	d := digestOf(request)
	return &masticproto.Reserve{
		Workspace: "mill", IdempotencyKey: key, RequestDigest: d[:], Host: "h", Incarnation: "1", Attempt: uint64(attempt),
		DeadlineUnixMs: now.Add(time.Minute).UnixMilli(), RetainUntilUnixMs: now.Add(time.Hour).UnixMilli(),
	}
}

func TestReserveRejectsReusedExpiredAndExcessKeys(t *testing.T) {
	c := qt.New(t)
	g := New(WithLimits(Limits{Orders: 9, WorkspaceOrders: 3, OpaqueKeys: 2, WorkspaceOpaqueKeys: 1, BodyBytes: 10}))
	_, err := g.Reserve(startTime, newReserve(startTime, "a", 1, 1))
	c.Assert(err, qt.IsNil)
	_, err = g.Reserve(startTime, newReserve(startTime, "a", 2, 2))
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindKeyReused)
	_, err = g.Reserve(startTime, newReserve(startTime, "b", 1, 3))
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindKeyTooOld)
	for i := range 2 {
		_, err = g.Reserve(startTime, newReserve(startTime, uuidAt(startTime.Add(time.Duration(-i)*time.Second)), 1, 4+i))
		c.Assert(err, qt.IsNil)
	}
	_, err = g.Reserve(startTime, newReserve(startTime, uuidAt(startTime.Add(-9*time.Second)), 1, 9))
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindOverloaded)
	other := newReserve(startTime, "a", 1, 9)
	other.Workspace = "yard"
	_, err = g.Reserve(startTime, other)
	c.Assert(err, qt.IsNil)
	other.Workspace = "quarry"
	_, err = g.Reserve(startTime, other)
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindKeyTooOld)
	_, err = g.Reserve(startTime.Add(time.Hour), newReserve(startTime, "c", 1, 9))
	c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindDeadline)
}

// TestRepeatedReserveDoesNotReserveReleasedOrder guards against a duplicated Reserve message
// that reserves the key again after its attempt has released it: the key would then be
// blocked, because that attempt no longer runs.
func TestRepeatedReserveDoesNotReserveReleasedOrder(t *testing.T) {
	c := qt.New(t)
	g := New()
	r := newReserve(startTime, "a", 1, 1)
	_, err := g.Reserve(startTime, r)
	c.Assert(err, qt.IsNil)
	c.Assert(g.Release(startTime, &masticproto.Release{Workspace: "mill", IdempotencyKey: "a", Host: "h", Incarnation: "1", Attempt: 1}), qt.IsTrue)
	again, _ := g.Reserve(startTime, r)
	c.Assert(again.State, qt.Equals, masticcall.OrderInFlight)
	next, _ := g.Reserve(startTime, newReserve(startTime, "a", 1, 2))
	c.Assert(next.State, qt.Equals, masticcall.OrderReserved)
}

func TestStoredBodiesStayWithinLimit(t *testing.T) {
	c := qt.New(t)
	g := New(WithLimits(Limits{Orders: 5000, WorkspaceOrders: 500, OpaqueKeys: 5000, WorkspaceOpaqueKeys: 5000, BodyBytes: 100}))
	now := startTime
	for i := range 4000 {
		now = now.Add(10 * time.Second)
		g.Expire(now)
		key := fmt.Sprint("key", i)
		_, err := g.Reserve(now, newReserve(now, key, 1, i))
		c.Assert(err, qt.IsNil)
		g.Record(&masticproto.Record{
			Workspace: "mill", IdempotencyKey: key, Host: "h", Incarnation: "1", Attempt: uint64(i),
			Answer: &masticproto.StoredAnswer{Status: 200, Body: []byte(strings.Repeat("x", i%60))},
		})
		c.Assert(g.bodies.bytes <= 100, qt.IsTrue)
		c.Assert(len(g.bodies.queue) <= 500, qt.IsTrue)
	}
	c.Assert(g.Orders() < 500, qt.IsTrue)
}

func TestKeyTime(t *testing.T) {
	c := qt.New(t)
	cases := []struct {
		key     string
		hasTime bool
	}{
		{uuidAt(startTime), true},
		{strings.ToUpper(uuidAt(startTime)), true},
		{uuidAt(startTime.Add(MaxKeyClockSkew)), true},
		{uuidAt(startTime.Add(MaxKeyClockSkew + time.Millisecond)), false},
		{uuidAt(time.UnixMilli(0)), false},
		{"01a31893-3e80-4000-8000-000000000000", false},
		{"01JZ8QC9G0ABCDEFGHJKMNPQRS", true},
		{"01JZ8QC9G0ABCDEFGHJKMNPQRU", false},
		{"order 17", false},
	}
	for _, k := range cases {
		_, ok := KeyTime(k.key, startTime)
		c.Assert(ok, qt.Equals, k.hasTime, qt.Commentf(k.key))
	}
}

func TestDigestSetContainsAddedDigests(t *testing.T) {
	c := qt.New(t)
	var s digestSet
	for i := range uint64(10_000) {
		s.add(i * 0x9e3779b97f4a7c15)
		s.add(i / 2 * 0x9e3779b97f4a7c15)
	}
	c.Assert(s.count(), qt.Equals, 10_000)
	c.Assert(len(s.sorted) > 0 && len(s.recent) > 0, qt.IsTrue)
	all := s.all()
	c.Assert(slices.IsSorted(all), qt.IsTrue)
	c.Assert(all, qt.HasLen, 10_000)
	for i := range uint64(10_000) {
		c.Assert(s.contains(i*0x9e3779b97f4a7c15), qt.IsTrue)
	}
	c.Assert(s.contains(1), qt.IsFalse)
}
