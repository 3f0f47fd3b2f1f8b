package masticcontrol_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticcontrol"
	"masticladder/masticproto"
)

// newClusterUnderLoad starts control hosts and two agents that generate load.
func newClusterUnderLoad(t *testing.T, options ...masticcontrol.Option) (*cluster, *load, []*client) {
	c := newCluster(t, three, options...)
	c.startAll()
	agents := []*client{c.agent(1), c.agent(2)}
	c.publish(agents[0], "first", baseChange(2))
	for _, a := range agents {
		c.eventually("a lease", func() bool { return a.Leased(time.Now()) })
	}
	return c, c.startLoad(agents...), agents
}

func TestLeaderStopsUnderLoad(t *testing.T) {
	c, l, agents := newClusterUnderLoad(t)
	for range 3 {
		l.progress(c, 5)
		old := c.leader(agents[0])
		c.stop(old)
		l.progress(c, 5)
		c.start(old)
	}
	l.check(c, agents[1])
}

func TestOneWayPartitionsUnderLoad(t *testing.T) {
	c, l, agents := newClusterUnderLoad(t)
	for i := range 4 {
		l.progress(c, 3)
		old := c.leader(agents[0])
		for _, name := range three {
			if name == old {
				continue
			}
			if i%2 == 0 {
				c.network.block(c.nodes[old].ip, c.nodes[name].ip)
			} else {
				c.network.block(c.nodes[name].ip, c.nodes[old].ip)
			}
		}
		l.progress(c, 3)
		c.isolate(old, c.network.unblock)
	}
	l.check(c, agents[1])
}

func TestAllRestartAfterManyChanges(t *testing.T) {
	q := quicktest.New(t)
	c := newCluster(t, three, masticcontrol.WithSnapshotEntries(100, 20))
	c.startAll()
	a := c.agent(1)
	c.publish(a, "first", baseChange(1))
	const changes = 300
	for i := range changes {
		c.publish(a, workspaceName(i), workspaceChange(workspaceName(i)))
	}
	a.stop()
	c.stopAll()
	begin := time.Now()
	c.startAll()
	b := c.agent(1)
	c.eventually("a lease after the restart", func() bool { return b.Leased(time.Now()) })
	t.Logf("restart of all after %d changes to view and lease: %v", changes, time.Since(begin))
	q.Assert(b.View().Revision(), quicktest.Equals, uint64(changes+1))
	for i := range changes {
		_, ok := b.View().Workspace(workspaceName(i))
		q.Assert(ok, quicktest.IsTrue)
	}
	begin = time.Now()
	d := c.agent(1)
	c.eventually("a lease of another agent", func() bool { return d.Leased(time.Now()) })
	t.Logf("start of one host to view and lease: %v", time.Since(begin))
	p, err := d.Operator().Publish(c.context(), workspaceName(7), 0, workspaceChange(workspaceName(7)))
	q.Assert(err, quicktest.IsNil)
	q.Assert(p.Repeated, quicktest.IsTrue)
	q.Assert(p.Revision, quicktest.Equals, uint64(9))
}

func TestHostWithLostDataFolderRejoinsAsLearnerAndVotes(t *testing.T) {
	q := quicktest.New(t)
	c, l, agents := newClusterUnderLoad(t, masticcontrol.WithSnapshotEntries(50, 10))
	l.progress(c, 10)
	leader := c.leader(agents[0])
	lost := three[0]
	if lost == leader {
		lost = three[1]
	}
	before := memberOf(c, agents[0], lost)
	c.stop(lost)
	q.Assert(os.RemoveAll(c.nodes[lost].folder), quicktest.IsNil)
	c.start(lost, c.members()...)
	c.eventually("the host votes from its new folder", func() bool {
		m := memberOf(c, agents[0], lost)
		return m.GetVoter() && m.GetStorage() != before.GetStorage()
	})
	c.stop(c.leader(agents[0]))
	l.progress(c, 3)
	l.check(c, agents[1])
}

func workspaceName(i int) string { return fmt.Sprintf("change-%d", i) }

// memberOf returns the member with the given name as the leader knows it.
func memberOf(c *cluster, a *client, name string) *masticproto.Member {
	c.t.Helper()
	var s masticcall.ControlStatus
	c.eventually("a status", func() bool {
		var err error
		s, err = a.Operator().Status(c.context())
		return err == nil
	})
	for _, m := range s.Members {
		if m.Host == name {
			return &masticproto.Member{Id: m.Host, Voter: m.Voter, Storage: m.Storage}
		}
	}
	return nil
}
