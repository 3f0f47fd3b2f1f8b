package masticagent

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticproto"
	"masticladder/masticwire"
)

// agentRun runs an agent.
type agentRun struct {
	agent *Agent
	ended chan struct{}
}

func (a *agentRun) run() {
	defer close(a.ended)
	_ = a.agent.Run()
}

// waitUntil waits for a condition for 20 s at most.
func waitUntil(c *quicktest.C, what string, holds func() bool) {
	for n := 0; !holds(); n++ {
		c.Assert(n < 2000, quicktest.IsTrue, quicktest.Commentf("%s", what))
		time.Sleep(10 * time.Millisecond)
	}
}

// renewAnswer states the newest revision, with the view if the control host has it.
func renewAnswer(newest uint64, has bool) *masticproto.PeerAnswer {
	r := &masticproto.RenewAnswer{Id: 1, Term: 1, Revision: newest, Relayable: true}
	if has {
		r.Update = &masticproto.ViewUpdate{Whole: &masticproto.ViewSnapshot{Revision: newest}}
	}
	return &masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Renew{Renew: r}}
}

// TestLaggingControlHostDelaysView: a control host passed on that a newer revision existed but did not have it, and the next renewal
// came after a whole interval. Until then the host answered 404 for routes of the newest document, without knowing better.
func TestLaggingControlHostDelaysView(t *testing.T) {
	c := quicktest.New(t)
	const newest = 7
	var caughtUp atomic.Bool
	answers := func(context.Context) (*masticproto.PeerAnswer, error) {
		return renewAnswer(newest, caughtUp.Load()), nil
	}
	a, err := New(WithHost("h"), WithControlPeers(newFakeHost(t, answers).server.Address(), newFakeHost(t, answers).server.Address()),
		WithRenewInterval(time.Hour))
	c.Assert(err, quicktest.IsNil)
	r := &agentRun{agent: a, ended: make(chan struct{})}
	go r.run()
	c.Cleanup(func() {
		a.Stop(nil)
		<-r.ended
	})
	c.Assert(a.Outdated(), quicktest.IsFalse)
	waitUntil(c, "the host knows that its view is outdated", a.Outdated)
	caughtUp.Store(true)
	waitUntil(c, "the view is the newest", func() bool { return a.View().Revision() == newest })
	c.Assert(a.Outdated(), quicktest.IsFalse)
}

// TestOperatorsCallWaitsForFrozenLeader: each control host to which an operator resent a document waited for the frozen leader until
// the call ended, so that a valid document had no acknowledgement for 5.1 s.
func TestOperatorsCallWaitsForFrozenLeader(t *testing.T) {
	c := quicktest.New(t)
	frozen := newFakeHost(t, neverAnswers).server.Address()
	leader := newFakeHost(t, answersCommand).server.Address()
	for _, others := range [][]string{{leader}, {newFakeHost(t, redirectsTo(leader)).server.Address()}, {newFakeHost(t, redirectsTo(frozen)).server.Address(), leader}} {
		l, err := newLeaderClient(masticwire.New(), append([]string{frozen}, others...), time.Millisecond)
		c.Assert(err, quicktest.IsNil)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		q := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Command{Command: &masticproto.Command{}}}
		// The attempt at the frozen leader would last longer than the call.
		a, err := l.callSearching(ctx, q, time.Hour)
		c.Assert(err, quicktest.IsNil)
		c.Assert(a.address, quicktest.Equals, leader)
		cancel()
		l.close()
	}
}
