package masticagent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticsuspect"
	"masticladder/masticview"
)

// TestSuspectDifferencesLeadToTheSetOfControl guards against a host that keeps suspects which the control group has not, or lacks
// some, after differences were lost, repeated or came out of order.
func TestSuspectDifferencesLeadToTheSetOfControl(t *testing.T) {
	c := quicktest.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	control := masticsuspect.New(masticsuspect.WithKeptChanges(200))
	host := newSuspects(&Agent{})
	difference := func(since uint64) *masticproto.SuspectSet {
		suspects, others, known := control.Difference(since)
		set := &masticproto.SuspectSet{Fingerprint: control.Fingerprint(), Difference: known}
		if !known {
			suspects = control.Suspects()
		}
		for _, d := range suspects {
			set.Digests = append(set.Digests, d[:])
		}
		for _, d := range others {
			set.Removed = append(set.Removed, d[:])
		}
		return set
	}
	now, pushed := time.Unix(1_800_000_000, 0), uint64(0)
	var sent []*masticproto.SuspectSet
	complete, whole := 0, 0
	for i := range 3000 {
		now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
		d := masticview.DigestOf(fmt.Append(nil, random.IntN(40)))
		r := &masticproto.SuspectReport{
			Server: fmt.Sprint("s", random.IntN(20)), ServerIncarnation: fmt.Sprint(i / 20), Digests: [][]byte{d[:]},
			Verdict: []masticproto.Verdict{masticproto.Verdict_VERDICT_ENDED, masticproto.Verdict_VERDICT_COMPLETED}[random.IntN(2)],
		}
		_, err := control.Report(now, r)
		c.Assert(err, quicktest.IsNil)
		switch random.IntN(8) {
		case 0:
			// A renewal.
			set := difference(host.fingerprint())
			if !set.GetDifference() {
				whole++
			}
			host.update(set)
			c.Assert(host.fingerprint(), quicktest.Equals, control.Fingerprint())
		case 1, 2:
			set := difference(pushed)
			pushed = control.Fingerprint()
			if random.IntN(5) > 0 {
				host.update(set)
				sent = append(sent, set)
			}
		case 3:
			if len(sent) > 0 {
				host.update(sent[max(0, len(sent)-1-random.IntN(4))])
			}
		}
		if host.fingerprint() != control.Fingerprint() {
			continue
		}
		complete++
		suspects := control.Suspects()
		c.Assert(host.fromControl, quicktest.HasLen, len(suspects))
		for _, d := range suspects {
			c.Assert(host.fromControl[d], quicktest.IsTrue)
		}
	}
	t.Logf("the host's set was that of control after %d of 3000 changes; %d whole sets", complete, whole)
	c.Assert(complete > 1000, quicktest.IsTrue)
}

// TestCompletedRequestIsNoSuspectOfItsHost guards against a difference that cannot be applied, since the host has removed a
// request that completed there.
func TestCompletedRequestIsNoSuspectOfItsHost(t *testing.T) {
	c := quicktest.New(t)
	host := newSuspects(&Agent{})
	a, b := masticview.DigestOf([]byte("a")), masticview.DigestOf([]byte("b"))
	both := masticsuspect.FingerprintOf(a) ^ masticsuspect.FingerprintOf(b)
	host.update(&masticproto.SuspectSet{Fingerprint: both, Digests: [][]byte{a[:], b[:]}})
	host.fromControl[a] = false
	c.Assert(host.suspects(a), quicktest.IsFalse)
	c.Assert(host.all(time.Unix(1_800_000_000, 0)), quicktest.DeepEquals, []masticview.Digest{b})
	host.update(&masticproto.SuspectSet{Fingerprint: masticsuspect.FingerprintOf(b), Difference: true, Removed: [][]byte{a[:]}})
	c.Assert(host.fingerprint(), quicktest.Equals, masticsuspect.FingerprintOf(b))
	c.Assert(host.Suspected(masticcall.Content{Digest: b}), quicktest.IsTrue)
}
