package masticcontrol

import (
	"time"

	"google.golang.org/protobuf/proto"

	"masticladder/masticerror"
	"masticladder/masticlease"
	"masticladder/masticproto"
	"masticladder/masticquota"
	"masticladder/masticstate"
	"masticladder/masticwire"
)

// leader is what a host keeps while it leads within its lease.
type leader struct {
	loop     *loop
	term     uint64
	grantor  *masticlease.Grantor
	absences *absences
	owner    *masticquota.Owner
	// workspaces are those of the view when it was last looked at.
	workspaces map[string]bool
	seen       uint64
	forces     []force
	goals      []goal
	nextTick   time.Time
	// placement is nil where the host gives no load orders.
	placement *placement
	// listingIndex is the log index of the last change that followed from the list of servers.
	listingIndex uint64
	// silences are the times of the members' last answers.
	silences silences
	// apart is the part of the hosts out of reach when they were last looked at.
	apart     float64
	apartFrom time.Time
}

// observe takes or drops the leader's part after the core has moved. It is kept for the
// whole term, so that grants of one term have one owner; while the lease does not hold it
// takes no calls.
func (l *loop) observe(now time.Time) {
	was := l.status
	l.status = l.core.Status(now)
	l.turnTime = now
	l.note()
	if was.Leader != l.status.Leader || was.Term != l.status.Term {
		l.log.WithField("leader", l.status.Leader).WithField("term", l.status.Term).Info("control leader changed")
	}
	if l.leader != nil && (!l.status.Leading || l.status.Term != l.leader.term) {
		l.log.WithField("term", l.leader.term).Warn("leadership ended")
		l.dropLeader()
	}
	if l.leader == nil && l.status.LeaseHeld {
		l.leader = newLeader(now, l)
		l.log.WithField("term", l.status.Term).WithField("revision", l.state.View().Revision()).Info("leadership taken")
	}
}

func newLeader(now time.Time, l *loop) *leader {
	view := l.state.View()
	var hosts []string
	for _, h := range view.Hosts() {
		hosts = append(hosts, h.Name)
	}
	d := &leader{loop: l, term: l.status.Term, nextTick: now.Add(l.tickInterval)}
	d.absences = newAbsences(now)
	d.silences = silences{}
	d.workspaces, d.seen = map[string]bool{}, view.Revision()
	for _, name := range l.workspaceNames() {
		d.workspaces[name] = true
	}
	d.grantor = masticlease.NewGrantor(now, d.term, view.Revision(),
		masticlease.WithSpan(l.viewLease), masticlease.WithHosts(hosts))
	d.owner = masticquota.NewOwner(now, d.term, d.limit, masticquota.WithCheckpoint(l.state.QuotaBounds()))
	if l.loader != nil {
		d.placement = newPlacement(now, d)
	}
	return d
}

// limit returns the rate and burst of a workspace in the present view.
func (d *leader) limit(workspace string) (masticquota.Limit, bool) {
	if limit, ok := d.loop.documentLimit(workspace); ok {
		limit.RateTokensPerSecond = d.loop.ownShares.left(limit.RateTokensPerSecond, d.apart)
		return limit, true
	}
	w, ok := d.loop.state.View().Workspace(workspace)
	return masticquota.Limit{RateTokensPerSecond: w.RateTokensPerSecond, BurstTokens: w.BurstTokens}, ok
}

// dropLeader answers every waiting call with what is known: a proposal may still be
// committed by another leader, a publish is committed but not known to be in force.
func (l *loop) dropLeader() {
	for index, p := range l.pending {
		p.call.fail(masticerror.New(masticerror.KindOutcomeUnknown, "leadership ended before entry %d was committed", index))
		delete(l.pending, index)
	}
	if l.leader == nil {
		return
	}
	for _, f := range l.leader.forces {
		f.call.answer(commandAnswer(f.answer))
	}
	for _, g := range l.leader.goals {
		g.call.fail(masticerror.New(masticerror.KindOutcomeUnknown, "leadership ended before the member change was committed"))
	}
	l.leader = nil
}

// notLeader names the leader, if it is known.
func (l *loop) notLeader() error {
	cause := masticerror.New(masticerror.KindNotLeader, "%s does not lead", l.id)
	if l.status.Leader == l.id {
		cause = masticerror.New(masticerror.KindNoQuorum, "%s leads but holds no lease of a quorum now", l.id)
		return masticwire.NewAnswerError(cause, "", "")
	}
	return masticwire.NewAnswerError(cause, l.status.Leader, addressOf(l.status.Members, l.status.Leader))
}

// command proposes the command of a call.
func (d *leader) command(now time.Time, c *call, command *masticproto.Command) {
	if command.GetKind() == nil || command.GetTick() != nil || command.GetQuota() != nil {
		c.fail(masticerror.New(masticerror.KindBadRequest, "a host may not ask for this command"))
		return
	}
	index, term, err := d.loop.propose(now, command)
	if err != nil {
		c.fail(err)
		return
	}
	d.loop.pending[index] = proposal{call: c, term: term}
}

func (l *loop) propose(now time.Time, command *masticproto.Command) (index, term uint64, err error) {
	command.AtUnixMs = now.UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return 0, 0, masticerror.Wrap(err, masticerror.KindInternal, "encode a command")
	}
	return l.core.Propose(now, data)
}

// propose proposes what is due by itself: member changes, quota checkpoints and ticks.
func (d *leader) propose(now time.Time) {
	d.changeMembers(now)
	d.proposeLost(now)
	d.noteApart(now)
	if d.placement != nil {
		d.placement.propose(now)
	}
	if c := d.owner.Checkpoint(now); c != nil {
		_, _, _ = d.loop.propose(now, &masticproto.Command{Kind: &masticproto.Command_Quota{Quota: c}})
	}
	if !now.Before(d.nextTick) {
		d.nextTick = now.Add(d.loop.tickInterval)
		d.grantor.Forget(now)
		_, _, _ = d.loop.propose(now, &masticproto.Command{Kind: &masticproto.Command_Tick{Tick: &masticproto.Tick{}}})
	}
}

// applied takes note of a result of the state.
func (d *leader) applied(now time.Time, result masticstate.Result) {
	d.grantor.Committed(now, d.loop.state.View().Revision())
	d.noteCreated()
	if q, ok := result.(masticstate.QuotaResult); ok && q.Applied {
		d.owner.Committed(q.Term, q.Sequence)
	}
}

// appliedLoad takes note of a committed load order.
func (d *leader) appliedLoad(now time.Time, o *masticproto.LoadOrder, result masticstate.Result) {
	if r, ok := result.(masticstate.LoadResult); ok && r.Applied && d.placement != nil {
		d.placement.applied(now, o)
	}
}

// noteCreated tells the quota's owner of workspaces that came into being in this term.
func (d *leader) noteCreated() {
	view := d.loop.state.View()
	if view.Revision() == d.seen {
		return
	}
	d.seen = view.Revision()
	for _, name := range d.loop.workspaceNames() {
		if !d.workspaces[name] {
			d.workspaces[name] = true
			d.owner.Created(name)
		}
	}
}

// workspaceNames returns the names of the workspaces of the view and of its document.
func (l *loop) workspaceNames() []string {
	names := l.documentTenants()
	for _, w := range l.state.View().Workspaces() {
		names = append(names, w.Name)
	}
	return names
}
