package masticdaemon

import (
	"net/netip"
	"time"

	"masticladder/masticagent"
	"masticladder/masticbackend"
	"masticladder/masticcontrol"
	"masticladder/masticcourse"
	"masticladder/masticdispatch"
	"masticladder/masticgossip"
	"masticladder/masticplace"
	"masticladder/masticproto"
	"masticladder/masticwire"
)

func (n *Node) openWire() error {
	bound, err := netip.ParseAddrPort(n.settings.Peer)
	if err != nil {
		return err
	}
	n.wire = masticwire.New(masticwire.WithMetrics(n.registry), masticwire.WithSource(bound.Addr()), masticwire.WithBackoff(dialPauseLeast, dialPauseMost))
	return nil
}

func (n *Node) openControl() error {
	if n.settings.Folder == "" {
		return nil
	}
	c, err := n.newControl()
	if err != nil {
		return err
	}
	n.control = newKeeper(c, n.newControl, n.log)
	return nil
}

func (n *Node) newControl() (*masticcontrol.Control, error) {
	s := n.settings
	return masticcontrol.New(
		masticcontrol.WithID(s.Peer),
		masticcontrol.WithFolder(s.Folder),
		masticcontrol.WithAddress(s.Peer),
		masticcontrol.WithMembers(founders(s)...),
		masticcontrol.WithWire(n.wire),
		masticcontrol.WithLog(n.log),
		masticcontrol.WithCounters(&n.counters),
		masticcontrol.WithElectionTimeout(s.Election),
		masticcontrol.WithHeartbeat(s.Heartbeat),
		masticcontrol.WithViewLease(s.ViewLease),
		masticcontrol.WithLister(n.protocols.Lister, s.ListInterval),
		masticcontrol.WithQuotaSlack(int64(ownerSlack*float64(s.QuotaSlack))),
		masticcontrol.WithOwnShares(shareMargin, int64(spareSlack*float64(s.QuotaSlack)/quotaWindow.Seconds())),
		masticcontrol.WithPushInterval(pushInterval),
		masticcontrol.WithVoterRemoval(s.KeptVoters),
		masticcontrol.WithSnapshotEntries(snapshotEntries, snapshotEntries/2),
		masticcontrol.WithLoader(n.protocols.Loader, nodeLoadSenders, masticplace.WithOrderSpan(s.LoadSpan), masticplace.WithSupersede()),
	)
}

const (
	// snapshotEntries is after how many entries the log is compacted: the disks are small.
	snapshotEntries = 1024
	// pushInterval bounds the messages of a change of weights, which makes some tens of
	// revisions a second. Documents have 2 s to be in force.
	pushInterval = 50 * time.Millisecond
	// nodeLoadSenders is the number of load orders that can be under way at once.
	nodeLoadSenders = 24
)

// founders returns the members that the group starts with. Only the first start has any, so
// that a host that lost its disk never founds a second group.
func founders(s NodeSettings) []*masticproto.Member {
	var members []*masticproto.Member
	own := false
	for _, address := range s.Founders {
		members = append(members, &masticproto.Member{Id: address, Voter: true, Address: address})
		own = own || address == s.Peer
	}
	if !s.Found || !own {
		return nil
	}
	return members
}

func (n *Node) openAgent() error {
	s := n.settings
	agent, err := masticagent.New(
		masticagent.WithHost(s.Peer),
		masticagent.WithControlPeers(s.Founders...),
		masticagent.WithWire(n.wire),
		masticagent.WithOnView(n.onView),
		masticagent.WithLog(n.log),
		masticagent.WithRenewInterval(s.ViewLease*3/10),
		masticagent.WithShare(n.share),
		masticagent.WithStandingShare(n.standingShare),
		masticagent.WithLazyAcknowledgement(),
	)
	n.agent = agent
	return err
}

func (n *Node) openCourse() error {
	if n.settings.Callers == "" {
		return nil
	}
	bound, err := netip.ParseAddrPort(n.settings.Peer)
	if err != nil {
		return err
	}
	n.dispatcher = masticdispatch.New(masticdispatch.WithLog(n.log.WithField("host", n.settings.Peer)), masticdispatch.WithSharedLoad())
	n.client = masticbackend.New(masticbackend.WithSource(bound.Addr()), masticbackend.WithIdentify(n.protocols.Identify))
	var lease []masticcourse.Option
	if n.settings.FailClosed {
		lease = append(lease, masticcourse.WithLease(n.agent))
	}
	n.course = masticcourse.New(append(lease,
		masticcourse.WithLimiter(n.agent.Limiter()),
		masticcourse.WithDispatcher(n.dispatcher),
		masticcourse.WithClient(n.client),
		masticcourse.WithBackends(n.protocols.Backends),
		masticcourse.WithCallers(n.protocols.Callers),
		masticcourse.WithLog(n.log),
		masticcourse.WithMetrics(n.registry),
	)...)
	n.gossip, err = masticgossip.New(n.settings.Peer, n.wire, n.agent.View, n.dispatcher, n.log)
	return err
}
