package masticagent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// TestQuarantineEndsByTimeOfDay: a host whose time of day was ahead of the leader's took a quarantine for
// over, and sent on requests that end backend servers; one whose time was behind kept it for too long.
func TestQuarantineEndsByTimeOfDay(t *testing.T) {
	digest := masticview.DigestOf([]byte("x"))
	leader := time.UnixMilli(1_800_000_000_000)
	until := leader.Add(10 * time.Minute)
	host := masticview.Host{Name: "h", Zone: "z", Address: "10.0.0.1:1", Peer: "10.0.0.1:2", State: masticview.HostLive}
	other := &masticproto.ViewChange{Hosts: []*masticproto.Host{host.ToProto()}}
	change := &masticproto.ViewChange{Quarantines: []*masticproto.Quarantine{{Digest: digest[:], UntilUnixMs: until.UnixMilli()}}}
	for name, ahead := range map[string]time.Duration{"host is ahead": 40 * time.Minute, "host is behind": -40 * time.Minute, "same time": 0} {
		for kind, u := range map[string]*masticproto.ViewUpdate{
			"delta": {Deltas: []*masticproto.ViewDelta{{Revision: 1, AtUnixMs: leader.UnixMilli(), Change: change}}},
			"whole": {Whole: &masticproto.ViewSnapshot{Revision: 1, AtUnixMs: leader.UnixMilli(), Items: change}},
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				c := qt.New(t)
				now := leader.Add(ahead)
				l, err := localView{}.withUpdate(now, u)
				c.Assert(err, qt.IsNil)
				q, _ := l.view().Quarantine(digest)
				c.Assert(q.Until.Equal(now.Add(10*time.Minute)), qt.IsTrue, qt.Commentf("%v left", q.Until.Sub(now)))
				// Another change, five minutes later, does not move the end.
				l, err = l.withUpdate(now.Add(5*time.Minute), &masticproto.ViewUpdate{Deltas: []*masticproto.ViewDelta{
					{Revision: 2, AtUnixMs: leader.Add(time.Minute).UnixMilli(), Change: other},
				}})
				c.Assert(err, qt.IsNil)
				c.Assert(l.view().Revision(), qt.Equals, uint64(2))
				q, _ = l.view().Quarantine(digest)
				c.Assert(q.Until.Equal(now.Add(10*time.Minute)), qt.IsTrue)
				// A change after its end, by the leader's time, removes it.
				l, err = l.withUpdate(now.Add(11*time.Minute), &masticproto.ViewUpdate{Deltas: []*masticproto.ViewDelta{
					{Revision: 3, AtUnixMs: until.UnixMilli(), Change: other},
				}})
				c.Assert(err, qt.IsNil)
				_, ok := l.view().Quarantine(digest)
				c.Assert(ok, qt.IsFalse)
			})
		}
	}
}
