package masticcontrol

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticladder/masticview"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// TestHostsOutOfReachLowerTheOwnersRate: a host counts as out of reach by its weight from
// apartSpan after its last renewal, also once it was taken out of the address answers; one
// that was never heard counts from the takeover, hosts without callers and retired ones never.
func TestHostsOutOfReachLowerTheOwnersRate(t *testing.T) {
	c := qt.New(t)
	start := time.UnixMilli(1_000_000)
	var v masticview.View
	for name, weight := range map[string]int64{"a": 10, "b": 30, "c": 60} {
		v = v.WithHost(masticview.Host{Name: name, Address: name, Weight: weight, State: masticview.HostLive})
	}
	v = v.WithHost(masticview.Host{Name: "control", Weight: 100, State: masticview.HostLive})
	v = v.WithHost(masticview.Host{Name: "gone", Address: "gone", Weight: 100, State: masticview.HostRetired})
	a := newAbsences(start)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	c.Assert(a.apart(at(apartSpan), v), qt.Equals, 0.0)
	c.Assert(a.apart(at(apartSpan+1), v), qt.Equals, 1.0)
	a.heard["a"], a.heard["b"] = at(apartSpan), at(apartSpan)
	c.Assert(a.apart(at(apartSpan+1), v), qt.Equals, 0.6)
	lost, _ := v.Host("c")
	c.Assert(a.apart(at(apartSpan+1), v.WithHost(lost.WithState(masticview.HostLost))), qt.Equals, 0.6)
	c.Assert(a.apart(at(2*apartSpan+1), v), qt.Equals, 1.0)
}

// TestSplitStaysWithinTheRate: in any split of the hosts, those out of reach, with their
// shares, and the owner, with what it then grants the others, admit no more together than the
// rate and the spare.
func TestSplitStaysWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const part = 0.9
		rate := rapid.Int64Range(0, 500_000).Draw(t, "rate")
		s := ownShares{part: part, spare: rapid.Int64Range(0, 5000).Draw(t, "spare")}
		now := time.UnixMilli(1_000_000)
		a := newAbsences(now.Add(-time.Hour))
		var v masticview.View
		var all, apart int64
		for i := range rapid.IntRange(1, 20).Draw(t, "hosts") {
			name, weight := fmt.Sprint("h", i), rapid.Int64Range(1, 50).Draw(t, "weight")
			v = v.WithHost(masticview.Host{Name: name, Address: name, Weight: weight, State: masticview.HostLive})
			all += weight
			if rapid.Bool().Draw(t, "reached") {
				a.heard[name] = now
			} else {
				apart += weight
			}
		}
		left := s.left(rate, a.apart(now, v))
		shares := part * float64(apart) / float64(all) * float64(rate)
		if left < 0 || float64(left)+shares > float64(rate+s.spare)+1 {
			t.Fatalf("the owner grants %d and the shares %v of a rate of %d with %d to spare", left, shares, rate, s.spare)
		}
	})
}
