package masticassign

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// TestAgeOfQuestions checks that the age counts from the sending, whatever the clocks show, and that a clock that
// drifts or a restarted asker makes no question old for longer than two windows.
func TestAgeOfQuestions(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	a := &ages{start: start, askers: map[uint64]fastest{}}
	const ahead = 3 * time.Hour
	age := func(asker uint64, sent, arrived time.Duration) time.Duration {
		return a.age(start.Add(arrived), &masticproto.SentAt{Asker: asker, Us: (sent + ahead).Microseconds()})
	}
	const ms = time.Millisecond
	c.Assert(age(1, 0, 2*ms), qt.Equals, time.Duration(0))
	c.Assert(age(1, 10*ms, 11*ms), qt.Equals, time.Duration(0))
	c.Assert(age(1, 20*ms, 171*ms), qt.Equals, 150*ms)
	c.Assert(age(2, 0, 500*ms), qt.Equals, time.Duration(0))
	c.Assert(age(1, 12*time.Second, 12*time.Second+151*ms), qt.Equals, 150*ms)
	c.Assert(age(1, 30*time.Second, 30*time.Second+151*ms), qt.Equals, time.Duration(0))
	c.Assert(a.age(start, nil), qt.Equals, time.Duration(0))
}

// countingCoordinator counts the questions that reach it.
type countingCoordinator struct {
	busy  bool
	asked int
	left  time.Duration
}

func (s *countingCoordinator) AssignFromShard(ctx context.Context, _ masticcall.ShardRequest) masticcall.ShardAssignment {
	s.asked++
	deadline, _ := ctx.Deadline()
	s.left = time.Until(deadline)
	return masticcall.ShardAssignment{Server: "i-1"}
}

func (s *countingCoordinator) UpdateShard(masticcall.ShardUpdate) {}

func (s *countingCoordinator) Busy() bool { return s.busy }

// TestOverloadedCoordinatorRejectsAtOnce: a coordinator short of processor time answered questions after their hosts
// had stopped waiting for them, and so never. It drops those, and rejects those that it would answer late.
func TestOverloadedCoordinatorRejectsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		coordinator := &countingCoordinator{}
		s := NewServer(coordinator)
		clock := newClock()
		ask := func(age time.Duration) (*masticproto.PeerAnswer, error) {
			q := &masticproto.PeerRequest{TimeoutMs: 150, Sent: clock.sentAt(time.Now()), Kind: &masticproto.PeerRequest_Assign{
				Assign: encodeRequest(time.Now(), masticcall.ShardRequest{Host: "h", Request: masticcall.Request{Shard: 1, Digest: masticview.DigestOf(nil)}}),
			}}
			time.Sleep(age)
			return s.Answer(t.Context(), q)
		}
		for _, x := range []struct {
			age     time.Duration
			busy    bool
			outcome string
		}{
			{0, false, "assigned"},
			{60 * time.Millisecond, false, "assigned"},
			{101 * time.Millisecond, false, "rejected"},
			{150 * time.Millisecond, false, "expired"},
			{time.Second, false, "expired"},
			{0, true, "rejected"},
			{0, false, "assigned"},
		} {
			coordinator.busy, coordinator.asked = x.busy, 0
			a, err := ask(x.age)
			switch x.outcome {
			case "assigned":
				c.Assert(a.GetAssign().GetServer(), qt.Equals, "i-1")
				c.Assert(coordinator.left, qt.Equals, 150*time.Millisecond-x.age)
			case "rejected":
				c.Assert(a.GetAssign().GetBusy(), qt.IsTrue, qt.Commentf("%v", x))
				c.Assert(coordinator.asked, qt.Equals, 0)
			default:
				c.Assert(masticerror.KindOf(err), qt.Equals, masticerror.KindOverloaded)
				c.Assert(coordinator.asked, qt.Equals, 0)
			}
		}
		c.Assert(s.expired.Count(), qt.Equals, int64(2))
		c.Assert(s.rejected.Count(), qt.Equals, int64(2))
	})
}
