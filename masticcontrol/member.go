package masticcontrol

import (
	"time"

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
	if q.GetMember().GetAddress() == "" {
		q.Member.Address = addressOf(d.loop.status.Members, q.GetMember().GetId())
	}
	if !q.GetRemove() && q.GetMember().GetAddress() == "" {
		c.fail(masticerror.New(masticerror.KindBadRequest, "the member change names no address"))
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
	d.removeSilent(now)
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
		_ = d.change(now, masticquorum.Change{Kind: masticquorum.ChangeDemote, ID: p.ID}, "its data folder was replaced")
	case d.loop.replaced.waiting[p.ID] && p.CaughtUp:
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
	if change.Kind == masticquorum.ChangeRemove && change.ID == d.loop.id && len(d.loop.status.Peers) > 0 {
		d.loop.log.Info("leadership is given up: an operator removes this host")
		d.loop.core.Resign(now)
		return false
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
	case present.GetVoter():
		// A removal and not a demotion, after which the host would be promoted again.
		return masticquorum.Change{Kind: masticquorum.ChangeRemove, ID: id}, false
	default:
		return masticquorum.Change{}, true
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
