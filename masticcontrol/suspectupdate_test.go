package masticcontrol

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
	"masticladder/masticview"
)

// suspectCommand is a report of 8 requests with 4 parts each, of which two are those of earlier reports.
func suspectCommand(at time.Time, i int) *masticproto.Command {
	r := &masticproto.SuspectReport{Server: fmt.Sprint("s", i%44), ServerIncarnation: fmt.Sprint(i / 150), QuarantineAfter: 3}
	for j := range 8 {
		d := masticview.DigestOf(fmt.Append(nil, "request", i, j))
		r.Digests = append(r.Digests, d[:])
		indices := &masticproto.PartIndices{}
		for _, n := range []int{i % 8, 100 + i%64, 1000 + 16*i + 2*j, 1001 + 16*i + 2*j} {
			p := masticview.DigestOf(fmt.Append(nil, "part", n))
			indices.Indices = append(indices.Indices, uint32(len(r.GetParts())))
			r.Parts = append(r.Parts, &masticproto.SuspectPart{Digest: p[:]})
		}
		r.RequestParts = append(r.RequestParts, indices)
	}
	return &masticproto.Command{AtUnixMs: at.UnixMilli(), Kind: &masticproto.Command_Suspect{Suspect: r}}
}

func newTestWatch(differences bool) *watch {
	return &watch{updates: newUpdates(), call: newCall(context.Background(), &masticproto.PeerRequest{
		Kind: &masticproto.PeerRequest_Watch{Watch: &masticproto.WatchRequest{SuspectDifferences: differences}},
	})}
}

// TestSuspectsArePushedInIntervals guards against a push of the whole set to every watcher at each report: 500 reports a second
// made 50 MB/s for each host, over links of 7.5 Mbit/s.
func TestSuspectsArePushedInIntervals(t *testing.T) {
	for _, differences := range []bool{true, false} {
		t.Run(fmt.Sprint("differences ", differences), func(t *testing.T) {
			c := qt.New(t)
			l := viewLoop(87, 44)
			l.watchers = map[*watch]struct{}{}
			for range 10 {
				l.watchers[newTestWatch(differences)] = struct{}{}
			}
			now := time.Unix(1_800_000_000, 0)
			pushes, bytes := 0, 0
			take := func() {
				for w := range l.watchers {
					for u, ok := w.updates.Take(); ok; u, ok = w.updates.Take() {
						pushes++
						bytes += proto.Size(u)
					}
				}
			}
			const reports = 500
			for i := range reports {
				now = now.Add(2 * time.Millisecond)
				l.applyCommand(now, uint64(i+2), suspectCommand(now, i))
				l.pushSuspects(now)
				take()
			}
			l.pushSuspects(now.Add(suspectPushInterval))
			take()
			t.Logf("%d pushes, %d bytes and %d digests built for %d watchers", pushes, bytes, l.suspectUpdates.built, len(l.watchers))
			c.Assert(l.watchers, qt.HasLen, 10)
			c.Assert(pushes <= 10*(2*reports/50+2), qt.IsTrue, qt.Commentf("%d pushes", pushes))
			if differences {
				c.Assert(l.suspectUpdates.built <= 2*(16*reports+72), qt.IsTrue, qt.Commentf("%d digests built", l.suspectUpdates.built))
			}
		})
	}
}

// TestRenewalsShareTheSuspects guards against a set that is built for each renewal.
func TestRenewalsShareTheSuspects(t *testing.T) {
	c := qt.New(t)
	l := viewLoop(87, 44)
	now := time.Unix(1_800_000_000, 0)
	for i := range 100 {
		l.applyCommand(now, uint64(i+2), suspectCommand(now, i))
	}
	since := l.state.Suspects().Fingerprint()
	l.applyCommand(now, 102, suspectCommand(now, 100))
	l.applyCommand(now, 103, suspectCommand(now, 101))
	before := l.suspectUpdates.built
	for _, r := range []*masticproto.RenewRequest{{Suspects: since, SuspectDifferences: true}, {Suspects: since}, {SuspectDifferences: true, Suspects: 1}} {
		first, second := &masticproto.RenewAnswer{}, &masticproto.RenewAnswer{}
		l.addUpdates(first, r)
		l.addUpdates(second, r)
		c.Assert(first.GetSuspects() == second.GetSuspects(), qt.IsTrue)
		c.Assert(first.GetSuspects().GetFingerprint(), qt.Equals, l.state.Suspects().Fingerprint())
		c.Assert(first.GetSuspects().GetDifference(), qt.Equals, r.GetSuspectDifferences() && r.GetSuspects() == since)
	}
	c.Assert(l.suspectUpdates.built-before <= 36+l.state.Suspects().SuspectCount(), qt.IsTrue)
}
