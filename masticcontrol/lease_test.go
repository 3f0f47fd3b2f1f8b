package masticcontrol

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"masticladder/masticlease"
	"masticladder/masticproto"
)

// newPublishingLeader returns a leader of hosts that hold leases, with pending publishes of revisions from 2 on.
func newPublishingLeader(now time.Time, hosts, pending int) *leaderState {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &loop{settings: settings{log: log, viewLeaseLifetime: time.Minute}}
	d := &leaderState{loop: l, grantor: masticlease.NewGrantor(now, 1, 1)}
	for i := range hosts {
		d.grantor.Renew(now, now.Add(time.Hour), masticlease.Renewal{ID: 1, Host: fmt.Sprint("h", i), Acknowledged: 1})
	}
	for i := range pending {
		d.grantor.Committed(now, uint64(i+2))
		c := newCall(context.Background(), &masticproto.PeerRequest{})
		d.awaitInForce(now, c, &masticproto.CommandAnswer{Revision: uint64(i + 2)})
	}
	return d
}

// TestRepeatedPublishIsAnsweredBeforeLaterOnes checks that a publish is answered once its own revision is in
// force, also if it was repeated after later ones.
func TestRepeatedPublishIsAnsweredBeforeLaterOnes(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	d := newPublishingLeader(now, 1, 0)
	now = now.Add(2 * masticlease.DefaultLeaseLifetime)
	d.grantor.Committed(now, 2)
	d.grantor.Committed(now, 3)
	later, repeated := newCall(t.Context(), &masticproto.PeerRequest{}), newCall(t.Context(), &masticproto.PeerRequest{})
	d.awaitInForce(now, later, &masticproto.CommandAnswer{Revision: 3})
	d.awaitInForce(now, repeated, &masticproto.CommandAnswer{Revision: 2})
	d.grantor.Renew(now, now.Add(time.Hour), masticlease.Renewal{ID: 2, Host: "h0", Acknowledged: 2})
	d.answerPublishes(now)
	c.Assert(d.pendingPublishes, qt.HasLen, 1)
	c.Assert(d.pendingPublishes[0].answer.GetRevision(), qt.Equals, uint64(3))
	c.Assert((<-repeated.answers).answer.GetCommand().GetInForce(), qt.IsTrue)
	c.Assert(later.answers, qt.HasLen, 0)
}

// BenchmarkPendingPublishes looks for publishes that are in force while all hosts of a site register.
func BenchmarkPendingPublishes(b *testing.B) {
	for _, hosts := range []int{57, 291, 450} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			now := time.Now()
			d := newPublishingLeader(now, hosts, hosts)
			for b.Loop() {
				d.answerPublishes(now)
			}
		})
	}
}
