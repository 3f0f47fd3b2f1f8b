package masticdaemon

import (
	"net/netip"
	"time"

	"masticladder/masticagent"
	"masticladder/masticassign"
	"masticladder/masticbackend"
	"masticladder/masticbody"
	"masticladder/masticbucket"
	"masticladder/masticcontrol"
	"masticladder/masticdispatch"
	"masticladder/masticevents"
	"masticladder/masticgossip"
	"masticladder/masticplace"
	"masticladder/masticproto"
	"masticladder/masticrelay"
	"masticladder/masticretry"
	"masticladder/masticrollout"
	"masticladder/masticview"
	"masticladder/masticwire"
)

func (n *Node) openWire() error {
	bound, err := netip.ParseAddrPort(n.settings.Peer)
	if err != nil {
		return err
	}
	n.wire = masticwire.New(masticwire.WithMetrics(n.registry), masticwire.WithSource(bound.Addr()), masticwire.WithIntake(n.intake.peers()),
		masticwire.WithBackoff(minRedialDelay, maxRedialDelay))
	return nil
}

func (n *Node) openControl() error {
	if n.settings.Folder == "" {
		return nil
	}
	c, err := superviseControl(n.newControl, n.log)
	n.control = c
	return err
}

func (n *Node) newControl() (*masticcontrol.Control, error) {
	s := n.settings
	return masticcontrol.New(
		masticcontrol.WithID(s.Peer),
		masticcontrol.WithFolder(s.Folder),
		masticcontrol.WithAddress(s.Peer),
		masticcontrol.WithMembers(initialNodeMembers(s)...),
		masticcontrol.WithMembersGivenOnce(),
		masticcontrol.WithWire(n.wire),
		masticcontrol.WithLog(n.log),
		masticcontrol.WithCounters(&n.counters),
		masticcontrol.WithElectionTimeout(s.ElectionTimeout),
		masticcontrol.WithHeartbeatInterval(s.HeartbeatInterval),
		masticcontrol.WithViewLeaseLifetime(s.ViewLeaseLifetime),
		masticcontrol.WithLister(n.protocols.Lister, s.ListInterval),
		masticcontrol.WithQuotaSlack(int64(ownerSlackFraction*float64(s.QuotaSlack))),
		masticcontrol.WithOutageShares(shareSafetyFactor, int64(outageSlackFraction*float64(s.QuotaSlack)/quotaAccountingWindow.Seconds())),
		masticcontrol.WithPushInterval(pushInterval),
		masticcontrol.WithVoterRemoval(s.VoterRemovalThreshold),
		masticcontrol.WithSnapshotEntries(snapshotEntries, snapshotEntries/2),
		masticcontrol.WithDiskBytes(s.diskBytes()),
		masticcontrol.WithRolloutBounds(s.rolloutBounds()),
		masticcontrol.WithLoader(n.protocols.Loader, nodeLoadSenders, masticplace.WithOrderTimeout(s.LoadTimeout), masticplace.WithSupersede()),
	)
}

const (
	// snapshotEntries is the number of log entries after which the log is compacted. It is low
	// because the disks are small.
	snapshotEntries = 1024
	// pushInterval limits how often views are pushed, since a change of weights makes some tens
	// of revisions a second. Documents must be in force within 2 s.
	pushInterval = 50 * time.Millisecond
	// quarantineAfter is the number of backend servers that have to end under a request before it
	// is refused. Crashes of several servers can hit a harmless request twice.
	quarantineAfter = 3
	// nodeLoadSenders is the maximum number of concurrent load orders.
	nodeLoadSenders = 24
)

// initialNodeMembers returns the members with which this host bootstraps the control group: all
// seeds if this host is one of them and the system starts for the first time, otherwise none, so
// that a host that lost its disk never bootstraps a second group.
func initialNodeMembers(s NodeSettings) []*masticproto.Member {
	var members []*masticproto.Member
	own := false
	for _, address := range s.Seeds {
		members = append(members, &masticproto.Member{Id: address, Voter: true, Address: address})
		own = own || address == s.Peer
	}
	if !s.Bootstrap || !own {
		return nil
	}
	return members
}

func (n *Node) openAgent() error {
	s := n.settings
	var keepers []masticagent.Option
	if s.CallerAddress != "" {
		n.coordinators = masticassign.NewClient(n.wire, n.registry)
		n.keeper = masticbucket.NewKeeper(s.Peer, n.quota)
		n.quotas = masticbucket.NewLimiter(s.Peer, n.keeper, n.coordinators, n.log.WithField("host", s.Peer))
		n.traffic = masticrollout.NewTraffic(s.Peer)
		keepers = append(keepers, masticagent.WithKeepers(n.quotas), masticagent.WithEvidence(n.traffic.Reports))
	}
	agent, err := masticagent.New(append(keepers,
		masticagent.WithHost(s.Peer),
		masticagent.WithControlPeers(s.Seeds...),
		masticagent.WithWire(n.wire),
		masticagent.WithOnView(n.onView),
		masticagent.WithLog(n.log),
		masticagent.WithRenewInterval(s.ViewLeaseLifetime*3/10),
		masticagent.WithOutageShare(n.outageShare),
		masticagent.WithStandingShare(n.standingShare),
		masticagent.WithLazyAcknowledgement(),
		masticagent.WithFlushTimeout(flushTimeout),
		masticagent.WithQuarantineAfter(quarantineAfter),
		masticagent.WithOnSuspects(n.onSuspects),
	)...)
	n.agent = agent
	return err
}

// bodyBytes returns how many bytes the bodies of all requests may have together.
func bodyBytes(s NodeSettings) int64 {
	if s.MemoryLimitBytes <= 0 {
		return masticrelay.DefaultBodyBytes
	}
	return int64(bodyMemoryFraction * float64(s.MemoryLimitBytes))
}

// answerBytes returns how many bytes the heads and the parts of events of all answers may take together.
func answerBytes(s NodeSettings) int64 {
	if s.MemoryLimitBytes <= 0 {
		return masticrelay.DefaultBodyBytes
	}
	return int64(answerMemoryFraction * float64(s.MemoryLimitBytes))
}

// newRetryBudget returns the retry budget of a host whose weight is the given fraction of that of all
// hosts.
func newRetryBudget(s NodeSettings, fraction func() float64) *masticretry.Budget {
	if s.RetryBudgetRatio == 0 {
		return masticretry.NewBudget()
	}
	return masticretry.NewBudget(masticretry.WithShare(retryBudgetFraction*s.RetryBudgetRatio, func() float64 {
		return retryBudgetFraction * s.RetryBudgetSlack * fraction()
	}))
}

// leavingVerifier passes the servers to verify on to the relay, which is created after the dispatcher.
type leavingVerifier struct{ node *Node }

// VerifyLeaving implements masticdispatch.LeavingVerifier.
func (l *leavingVerifier) VerifyLeaving(server masticview.Server) { l.node.relay.VerifyLeaving(server) }

func (n *Node) openCourse() error {
	if n.settings.CallerAddress == "" {
		return nil
	}
	bound, err := netip.ParseAddrPort(n.settings.Peer)
	if err != nil {
		return err
	}
	n.dispatcher = masticdispatch.New(masticdispatch.WithLog(n.log.WithField("host", n.settings.Peer)), masticdispatch.WithSharedLoad(), masticdispatch.WithHost(n.settings.Peer),
		masticdispatch.WithLeavingReporter(n.agent.Leaving()), masticdispatch.WithCoordinators(n.coordinators), masticdispatch.WithLoadReporter(n.coordinators),
		masticdispatch.WithLeavingVerifier(&leavingVerifier{n}), masticdispatch.WithOldWeightsTimeout(n.settings.oldWeightsTimeout()))
	answers := masticbody.NewBudget(answerBytes(n.settings))
	n.client = masticbackend.New(masticbackend.WithSource(bound.Addr()), masticbackend.WithIdentify(n.protocols.Identify), masticbackend.WithHeadBudget(answers))
	var lease []masticrelay.Option
	if n.settings.FailClosed {
		lease = append(lease, masticrelay.WithLease(n.agent))
	}
	n.relay = masticrelay.New(append(lease,
		masticrelay.WithFreshness(n.agent),
		masticrelay.WithLimiter(n.agent.Limiter()),
		masticrelay.WithDispatcher(n.dispatcher),
		masticrelay.WithSuspects(n.agent.Suspects(), n.agent.Holds()),
		masticrelay.WithOrigins(n.agent.Origins()),
		masticrelay.WithTraffic(n.traffic, n.agent.Leased),
		masticrelay.WithClient(n.client),
		masticrelay.WithStatementObserver(n.dispatcher),
		masticrelay.WithCheckObserver(n.dispatcher),
		masticrelay.WithAnswerBudget(answers),
		masticrelay.WithBodyBudget(masticbody.NewBudget(bodyBytes(n.settings))),
		masticrelay.WithBackends(n.protocols.Backends),
		masticrelay.WithCallers(n.protocols.Callers),
		masticrelay.WithLog(n.log),
		masticrelay.WithMetrics(n.registry),
		masticrelay.WithRetryBudget(newRetryBudget(n.settings, n.fleetFraction)),
	)...)
	if n.protocols.Events != nil {
		n.events = masticevents.New(n.settings.Peer, n.agent.View, n.protocols.Events, n.dispatcher, n.log)
	}
	n.gossip, err = masticgossip.New(n.settings.Peer, n.wire, n.agent.View, n.dispatcher, n.log, masticgossip.WithListen(n.settings.Peer),
		masticgossip.WithCalls(masticassign.NewServer(n.dispatcher, masticassign.WithKeeper(n.keeper), masticassign.WithMetrics(n.registry))))
	return err
}
