package masticcontrol_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticclock"
	"masticladder/masticcontrol"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// racer publishes one change with a given base revision.
type racer struct {
	cluster *cluster
	agent   *client
	id      string
	base    uint64
	done    *sync.WaitGroup
	err     error
}

func (r *racer) run() {
	defer r.done.Done()
	_, r.err = r.agent.Operator().Publish(r.cluster.context(), r.id, r.base, workspaceChange(r.id))
}

func TestOnePublishPerBaseRevisionIsAccepted(t *testing.T) {
	q := quicktest.New(t)
	c := newCluster(t, three)
	c.startAll()
	agents := []*client{c.agent(1), c.agent(2), c.agent(3)}
	base := c.publish(agents[0], "first", baseChange(3))
	for round := range 10 {
		var done sync.WaitGroup
		var racers []*racer
		for i := range 6 {
			r := &racer{cluster: c, agent: agents[i%3], id: fmt.Sprintf("race-%d-%d", round, i), base: base, done: &done}
			racers = append(racers, r)
			done.Add(1)
			go r.run()
		}
		done.Wait()
		accepted := 0
		for _, r := range racers {
			if r.err == nil {
				accepted++
				continue
			}
			q.Assert(masticerror.KindOf(r.err), quicktest.Equals, masticerror.KindConflict)
		}
		q.Assert(accepted, quicktest.Equals, 1)
		base++
	}
}

func TestResendAfterLostAnswer(t *testing.T) {
	q := quicktest.New(t)
	c := newCluster(t, three, masticcontrol.WithSnapshotEntries(20, 5))
	c.startAll()
	isolated, other := c.agent(1), c.agent(2)
	c.publish(isolated, "first", baseChange(2))
	c.eventually("a lease", func() bool { return isolated.Leased(time.Now()) })
	old := c.leader(other)
	for _, name := range three {
		c.network.block(c.nodes[name].ip, isolated.ip)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := isolated.Operator().Publish(ctx, "lost", 1, workspaceChange("lost"))
	q.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindOutcomeUnknown)
	c.eventually("the commit", func() bool { return other.View().Revision() == 2 })

	resend := func() {
		c.t.Helper()
		p, err := other.Operator().Publish(c.context(), "lost", 1, workspaceChange("lost"))
		q.Assert(err, quicktest.IsNil)
		q.Assert(p.Revision, quicktest.Equals, uint64(2))
		q.Assert(p.Repeated, quicktest.IsTrue)
		_, err = other.Operator().Publish(c.context(), "lost", 1, workspaceChange("different"))
		q.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindConflict)
	}
	resend()
	c.stop(old)
	resend()
	for i := range 50 {
		c.publish(other, workspaceName(i), workspaceChange(workspaceName(i)))
	}
	c.start(old)
	c.stopAll()
	c.startAll()
	resend()
}

func TestMembersAreAddedPromotedAndRemoved(t *testing.T) {
	q := quicktest.New(t)
	c := newCluster(t, three, masticcontrol.WithSnapshotEntries(20, 5))
	c.startAll()
	a := c.agent(1)
	c.publish(a, "first", baseChange(1))
	for i := range 50 {
		c.publish(a, workspaceName(i), workspaceChange(workspaceName(i)))
	}
	d := c.add("d", len(three))
	c.start("d")
	err := a.Operator().ChangeMember(c.context(), "d", &masticproto.Member{Voter: true, Address: d.relay.address()})
	q.Assert(err, quicktest.IsNil)
	q.Assert(memberOf(c, a, "d").GetVoter(), quicktest.IsTrue)

	q.Assert(a.Operator().ChangeMember(c.context(), "d", &masticproto.Member{}), quicktest.IsNil)
	q.Assert(memberOf(c, a, "d").GetVoter(), quicktest.IsFalse)
	err = a.Operator().ChangeMember(c.context(), "d", &masticproto.Member{Voter: true})
	q.Assert(err, quicktest.IsNil)

	leader := c.leader(a)
	q.Assert(a.Operator().ChangeMember(c.context(), leader, nil), quicktest.IsNil)
	c.stop(leader)
	leader = c.leader(a)
	c.stop(leader)
	c.start(leader)
	c.publish(a, "after", workspaceChange("after"))
	_, known := a.View().Workspace(workspaceName(49))
	q.Assert(known, quicktest.IsTrue)
}

// endOf reports that an incarnation of an engine has just ended under a request.
func endOf(incarnation string, d masticview.Digest) masticcall.ServerReport {
	now := masticclock.Now()
	return masticcall.ServerReport{
		Server: "engine", Incarnation: incarnation, Verdict: masticcall.VerdictEnded, FailedAt: now,
		Requests: []masticcall.FailedRequest{{Content: masticcall.Content{Digest: d}, SentAt: now}},
	}
}

// TestHoldOfQuarantinedRequestIsTriedOnEveryServer: a host that did not know of the quarantine yet was
// told that another suspect held the server, and asked for the next one until it knew.
func TestHoldOfQuarantinedRequestIsTriedOnEveryServer(t *testing.T) {
	q := quicktest.New(t)
	c := newCluster(t, three)
	c.startAll()
	a := c.agent(1)
	digest := masticview.DigestOf([]byte("crash"))
	a.Suspects().Report(endOf("one", digest))
	content := masticcall.Content{Digest: digest}
	outcome, _, err := a.Holds().Hold(c.context(), content, "engine", time.Now().Add(time.Minute))
	q.Assert(err, quicktest.IsNil)
	q.Assert(outcome, quicktest.Equals, masticcall.HoldGranted)
	a.Suspects().Report(endOf("two", digest))
	_, _, err = a.Holds().Hold(c.context(), content, "engine", time.Now().Add(time.Minute))
	q.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindQuarantined)
}

func TestUsageSuspectsAndQuotaReachTheLeader(t *testing.T) {
	q := quicktest.New(t)
	c := newCluster(t, three)
	c.startAll()
	a, b := c.agent(1), c.agent(2)
	c.publish(a, "first", baseChange(2))
	digest := masticview.DigestOf([]byte("crash"))
	a.Suspects().Report(endOf("one", digest))
	b.Suspects().Report(endOf("two", digest))
	c.eventually("the quarantine", func() bool {
		_, ok := b.View().Quarantine(digest)
		return ok
	})

	admitted, err := a.Limiter().Admit(c.context(), "saws", 100, time.Time{})
	q.Assert(err, quicktest.IsNil)
	admitted.Settle(50)
	_, err = a.Limiter().Admit(c.context(), "saws", 1_000_000, time.Time{})
	q.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindRateLimited)
	_, err = a.Limiter().Admit(c.context(), "unknown", 1, time.Time{})
	q.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindRateLimited)

	a.Usage().Add(masticcall.UsageRecord{Workspace: "saws", Profile: "review", InputTokens: 5, OutputTokens: 7})
	a.stop()
	totals, err := b.Operator().Usage(c.context())
	q.Assert(err, quicktest.IsNil)
	q.Assert(totals.Charged, quicktest.HasLen, 1)
	q.Assert(totals.Charged[0].InputTokens, quicktest.Equals, int64(5))
	q.Assert(totals.Served, quicktest.DeepEquals, []masticcall.ServedTotal{{Requests: 1, InputTokens: 5, OutputTokens: 7}})
}
