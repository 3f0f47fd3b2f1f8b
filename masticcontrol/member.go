package masticcontrol

import (
	"time"

	"google.golang.org/protobuf/proto"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticquorum"
)

// goal is a member list that an operator waits for.
type goal struct {
	call *call
	want *masticproto.MemberRequest
}

// member keeps the call until the member list is as it asks.
func (d *leader) member(c *call, q *masticproto.MemberRequest) {
	if q.GetMember().GetId() == "" {
		c.fail(masticerror.New(masticerror.KindBadRequest, "the member change names no host"))
		return
	}
	d.goals = append(d.goals, goal{call: c, want: q})
}

// changeMembers takes the next step towards each goal and restores voters that lost their folder.
func (d *leader) changeMembers(now time.Time) {
	if d.loop.status.ChangePending {
		return
	}
	for _, p := range d.loop.status.Peers {
		d.restoreVoter(now, p)
	}
	waiting := d.goals[:0]
	for _, g := range d.goals {
		if !d.pursue(now, g) {
			waiting = append(waiting, g)
		}
	}
	d.goals = waiting
}

// restoreVoter demotes a voter that answers from a new folder, and promotes it when it has caught up.
func (d *leader) restoreVoter(now time.Time, p masticquorum.PeerStatus) {
	switch {
	case p.Replaced:
		if d.change(now, masticquorum.Change{Kind: masticquorum.ChangeDemote, ID: p.ID}, "its data folder was replaced") == nil {
			d.restoring[p.ID] = true
		}
	case d.restoring[p.ID] && p.Voter:
		delete(d.restoring, p.ID)
	case d.restoring[p.ID] && p.CaughtUp:
		_ = d.change(now, masticquorum.Change{Kind: masticquorum.ChangePromote, ID: p.ID}, "it has caught up after its data folder was replaced")
	}
}

// pursue reports whether the goal is answered.
func (d *leader) pursue(now time.Time, g goal) bool {
	if g.call.abandoned() {
		g.call.fail(masticerror.New(masticerror.KindCancelled, "the caller no longer waits"))
		return true
	}
	change, met := d.nextChange(g.want)
	if met {
		g.call.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Member{Member: &masticproto.MemberAnswer{}}})
		return true
	}
	err := d.change(now, change, "an operator asked for it")
	switch masticerror.KindOf(err) {
	case "", masticerror.KindConflict:
		return false
	default:
		g.call.fail(err)
		return true
	}
}

// nextChange returns the next change towards what is wanted, or that it is met.
func (d *leader) nextChange(q *masticproto.MemberRequest) (masticquorum.Change, bool) {
	id := q.GetMember().GetId()
	present := memberOf(d.loop.status.Members, id)
	switch {
	case q.GetRemove():
		return masticquorum.Change{Kind: masticquorum.ChangeRemove, ID: id}, present == nil
	case present == nil:
		return masticquorum.Change{Kind: masticquorum.ChangeAdd, ID: id, Address: q.GetMember().GetAddress()}, false
	case q.GetMember().GetVoter():
		return masticquorum.Change{Kind: masticquorum.ChangePromote, ID: id}, present.GetVoter()
	default:
		return masticquorum.Change{Kind: masticquorum.ChangeDemote, ID: id}, !present.GetVoter()
	}
}

func (d *leader) change(now time.Time, c masticquorum.Change, reason string) error {
	err := d.loop.core.ProposeMembers(now, c)
	if err == nil {
		d.loop.log.WithField("member", c.ID).WithField("change", c.Kind).WithField("reason", reason).Info("member change proposed")
		d.loop.status = d.loop.core.Status(now)
	}
	return err
}

func memberOf(members []*masticproto.Member, id string) *masticproto.Member {
	for _, m := range members {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

func (l *loop) logMembers(e *masticproto.Entry) {
	var list masticproto.Members
	if err := proto.Unmarshal(e.GetData(), &list); err != nil {
		return
	}
	var voters, learners []string
	for _, m := range list.GetMembers() {
		if m.GetVoter() {
			voters = append(voters, m.GetId())
		} else {
			learners = append(learners, m.GetId())
		}
	}
	l.log.WithField("index", e.GetIndex()).WithField("voters", voters).WithField("learners", learners).Info("members committed")
}
