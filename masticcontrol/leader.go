package masticcontrol

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"masticladder/masticerror"
	"masticladder/masticlease"
	"masticladder/masticproto"
	"masticladder/masticquota"
	"masticladder/masticstate"
	"masticladder/masticview"
	"masticladder/masticwire"
)

// leaderState is the state that a host has only while it leads.
type leaderState struct {
	loop     *loop
	term     uint64
	grantor  *masticlease.Grantor
	renewals *renewals
	owner    *masticquota.Owner
	// workspaces are the workspace names of the view at seenRevision.
	workspaces       map[string]bool
	seenRevision     uint64
	pendingPublishes []pendingPublish
	memberRequests   []memberRequest
	nextTick         time.Time
	// originsAt is when the last command was proposed that advances the clock of the records of streams.
	originsAt time.Time
	// placement is nil if the host is configured without a loader.
	placement *placement
	// listIndex is the log index of the last change proposed from the list of backend servers.
	listIndex uint64
	// skippedEntries is the number of entries of the list that were skipped at its last reading.
	skippedEntries int
	// unreachableFraction is the fraction of unreachable hosts, by weight, at the last check.
	unreachableFraction float64
	// orders is cancelled when the leader lease is not held any more, before another host can lead.
	orders               context.Context
	cancelOrders         context.CancelFunc
	nextUnreachableCheck time.Time
	baseSoftware         baseSoftware
	olderWeights         olderWeights
	workload             workload
	rollouts             rollouts
}

// updateLeadership starts or ends leadership after the core has advanced. The leader is kept for
// the whole term, so that all grants of one term come from one quota owner; it answers no calls
// while its lease is not held.
func (l *loop) updateLeadership(now time.Time) {
	was := l.status
	l.status = l.core.Status(now)
	l.batchTime = now
	l.storeRole()
	if was.Leader != l.status.Leader || was.Term != l.status.Term {
		l.log.WithField("leader", l.status.Leader).WithField("term", l.status.Term).Info("control leader changed")
	}
	if l.leader != nil {
		l.leader.updateOrders()
	}
	if l.leader != nil && (!l.status.Leading || l.status.Term != l.leader.term) {
		l.log.WithField("term", l.leader.term).WithFields(l.leader.workload.fields(now)).Warn("leadership ended")
		l.endLeadership()
	}
	if l.leader == nil && l.status.LeaseHeld {
		l.leader = newLeaderState(now, l)
		l.log.WithField("term", l.status.Term).WithField("revision", l.state.View().Revision()).Info("leadership taken")
	}
}

// updateOrders ends the orders under way once the lease is not held, and allows new ones if it is held
// again in the same term.
func (d *leaderState) updateOrders() {
	switch held := d.loop.status.LeaseHeld && d.loop.status.Term == d.term; {
	case !held:
		d.cancelOrders()
	case d.orders.Err() != nil:
		d.orders, d.cancelOrders = context.WithCancel(d.loop.background)
	}
}

func newLeaderState(now time.Time, l *loop) *leaderState {
	view := l.state.View()
	var hosts []string
	for _, h := range view.Hosts() {
		hosts = append(hosts, h.Name)
	}
	d := &leaderState{loop: l, term: l.status.Term, nextTick: now.Add(l.tickInterval), originsAt: now, workload: workload{since: now}}
	d.orders, d.cancelOrders = context.WithCancel(l.background)
	d.renewals = newRenewals(now)
	d.baseSoftware.goneSince = map[string]time.Time{}
	d.olderWeights = olderWeights{}
	d.rollouts = newRollouts()
	d.workspaces, d.seenRevision = map[string]bool{}, view.Revision()
	for _, name := range l.workspaceNames() {
		d.workspaces[name] = true
	}
	d.grantor = masticlease.NewGrantor(now, d.term, view.Revision(),
		masticlease.WithLeaseLifetime(l.viewLeaseLifetime), masticlease.WithHosts(hosts))
	d.owner = masticquota.NewOwner(now, d.term, d.limit, masticquota.WithCheckpoint(l.state.QuotaBounds()))
	if l.loader != nil {
		d.placement = newPlacement(now, d)
	}
	return d
}

// limit returns the rate and burst of a workspace in the current view. A rate from the document
// is reduced while hosts are unreachable.
func (d *leaderState) limit(workspace string) (masticquota.Limit, bool) {
	if limit, ok := d.loop.documentLimit(workspace); ok {
		return d.loop.outageShares.grantable(limit, d.unreachableFraction), true
	}
	w, ok := d.loop.state.View().Workspace(workspace)
	return masticquota.Limit{RateTokensPerSecond: w.RateTokensPerSecond, BurstTokens: w.BurstTokens}, ok
}

// endLeadership answers every waiting call with what is known: a proposal may still be committed
// by another leader, and a publish is committed but not known to be in force.
func (l *loop) endLeadership() {
	for index, p := range l.proposals {
		p.call.fail(masticerror.New(masticerror.KindOutcomeUnknown, "leadership ended before entry %d was committed", index))
		l.takeProposal(index)
	}
	if l.leader == nil {
		return
	}
	for _, p := range l.leader.pendingPublishes {
		p.call.answer(commandAnswer(p.answer))
	}
	for _, r := range l.leader.memberRequests {
		r.call.fail(masticerror.New(masticerror.KindOutcomeUnknown, "leadership ended before the member change was committed"))
	}
	l.leader = nil
}

// notLeader returns an error that names the leader if it is known.
func (l *loop) notLeader() error {
	cause := masticerror.New(masticerror.KindNotLeader, "%s does not lead", l.id)
	if l.status.Leader == l.id {
		cause = masticerror.New(masticerror.KindNoQuorum, "%s leads but holds no lease of a quorum now", l.id)
		return masticwire.NewAnswerError(cause, "", "")
	}
	return masticwire.NewAnswerError(cause, l.status.Leader, addressOf(l.status.Members, l.status.Leader))
}

// command proposes the command of a call.
func (d *leaderState) command(now time.Time, c *call, command *masticproto.Command) {
	if command.GetKind() == nil || command.GetTick() != nil || command.GetQuota() != nil || command.GetStepRollout() != nil ||
		len(command.GetPublish().GetChange().GetRollouts()) > 0 {
		c.fail(masticerror.New(masticerror.KindBadRequest, "a host may not ask for this command"))
		return
	}
	if l := command.GetLeaving(); l != nil && !d.isNews(l) {
		c.answer(commandAnswer(&masticproto.CommandAnswer{}))
		return
	}
	addWait(command.GetSuspect(), now.Sub(c.receivedAt))
	if o := command.GetOrigins(); o != nil {
		o.ElapsedUs = d.elapsedUs(now)
	}
	index, term, err := d.loop.propose(now, command)
	if err != nil {
		c.fail(err)
		return
	}
	d.loop.addProposal(index, proposal{call: c, term: term})
}

// elapsedUs returns the microseconds since its last call, or since the term began. A command that is lost slows the clock of the records
// of streams, and no command makes it fast: what a former leader proposed and this one has was proposed before the term.
func (d *leaderState) elapsedUs(now time.Time) int64 {
	elapsed := max(0, now.Sub(d.originsAt)).Microseconds()
	d.originsAt = d.originsAt.Add(time.Duration(elapsed) * time.Microsecond)
	return elapsed
}

// isNews reports whether the view does not say yet that the incarnation is leaving. Many hosts hear a
// leaving server at the same time.
func (d *leaderState) isNews(l *masticproto.ServerLeaving) bool {
	s, ok := d.loop.state.View().Server(l.GetServer())
	return ok && s.Incarnation == l.GetIncarnation() && !s.StatedLeaving
}

func (l *loop) propose(now time.Time, command *masticproto.Command) (index, term uint64, err error) {
	command.AtUnixMs = now.UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return 0, 0, masticerror.Wrap(err, masticerror.KindInternal, "encode a command")
	}
	if err := l.admit(now, command, len(data)); err != nil {
		return 0, 0, err
	}
	return l.core.Propose(now, data)
}

// proposeDue proposes what no call asks for: member changes, the loss of hosts, load orders,
// quota checkpoints and ticks.
func (d *leaderState) proposeDue(now time.Time) {
	d.changeMembers(now)
	d.proposeLostHosts(now)
	d.updateUnreachable(now)
	d.proposeBaseSoftware(now)
	d.proposeRolloutSteps(now)
	if d.placement != nil {
		d.placement.propose(now)
	}
	if c := d.owner.Checkpoint(now); c != nil {
		_, _, _ = d.loop.propose(now, &masticproto.Command{Kind: &masticproto.Command_Quota{Quota: c}})
	}
	if !now.Before(d.nextTick) {
		d.nextTick = now.Add(d.loop.tickInterval)
		d.grantor.RemoveExpired(now)
		_, _, _ = d.loop.propose(now, &masticproto.Command{Kind: &masticproto.Command_Tick{Tick: &masticproto.Tick{ElapsedUs: d.elapsedUs(now)}}})
	}
}

// applied updates the lease grantor and the quota owner after a command was applied.
func (d *leaderState) applied(now time.Time, result masticstate.Result) {
	d.grantor.Committed(now, d.loop.state.View().Revision())
	d.reportCreatedWorkspaces()
	quarantined, err := d.loop.state.Quarantined()
	if err != nil {
		d.loop.log.WithError(err).Error("requests under which servers ended were not quarantined")
	}
	for _, digest := range quarantined {
		d.logQuarantine(digest)
	}
	switch r := result.(type) {
	case masticstate.QuotaResult:
		if r.Applied {
			d.owner.Committed(r.Term, r.Sequence)
		}
	case masticstate.SuspectResult:
		d.loop.log.WithField("server", r.Server).WithField("verdict", r.Verdict).WithField("requests", r.Requests).WithField("parts", r.Parts).
			WithField("failures", r.Failures).WithField("cause", r.Err).Info("failed backend server recorded")
	}
}

// logQuarantine logs that requests with a content, or with a part of their prompts, are refused.
func (d *leaderState) logQuarantine(digest masticview.Digest) {
	log := d.loop.log.WithField("suspects", d.loop.state.Suspects().SuspectCount())
	q, isPart := d.loop.state.Suspects().PartQuarantine(digest)
	if !isPart {
		log.WithField("content", digest.Short()).Warn("request quarantined: several backend servers ended under it")
		return
	}
	company := make([]string, len(q.Company))
	for i, c := range q.Company {
		company[i] = c.Short()
	}
	log.WithField("part", digest.Short()).WithField("servers", strings.Join(q.Servers, ", ")).WithField("company", strings.Join(company, " ")).
		WithField("nextTrialMillis", q.Until.Sub(d.loop.state.Now()).Milliseconds()).
		Warn("part of prompts quarantined: several backend servers ended under requests with it")
}

// appliedLoad passes an applied load order to the placement.
func (d *leaderState) appliedLoad(now time.Time, o *masticproto.LoadOrder, result masticstate.Result) {
	if r, ok := result.(masticstate.LoadResult); ok && r.Applied && d.placement != nil {
		d.placement.applied(now, o)
	}
}

// reportCreatedWorkspaces reports the workspaces created in this term to the quota's owner.
func (d *leaderState) reportCreatedWorkspaces() {
	view := d.loop.state.View()
	if view.Revision() == d.seenRevision {
		return
	}
	d.seenRevision = view.Revision()
	for _, name := range d.loop.workspaceNames() {
		if !d.workspaces[name] {
			d.workspaces[name] = true
			d.owner.WorkspaceCreated(name)
		}
	}
}

// workspaceNames returns the names of the workspaces of the view and of its document.
func (l *loop) workspaceNames() []string {
	names := l.documentWorkspaces()
	for _, w := range l.state.View().Workspaces() {
		names = append(names, w.Name)
	}
	return names
}
