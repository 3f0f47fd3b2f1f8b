package masticcontrol

import (
	"time"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticquorum"
)

// memberRequest is a member change that an operator's call waits for.
type memberRequest struct {
	call    *call
	request *masticproto.MemberRequest
}

// addMemberRequest queues the call until the member list is as requested.
func (d *leaderState) addMemberRequest(c *call, q *masticproto.MemberRequest) {
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
	d.memberRequests = append(d.memberRequests, memberRequest{call: c, request: q})
}

// changeMembers proposes the next member change: the demotion or promotion of a voter whose data
// folder was replaced, the removal of an unresponsive member, or the next step of each queued
// request. It proposes nothing while a change is uncommitted.
func (d *leaderState) changeMembers(now time.Time) {
	if d.loop.status.ChangePending {
		return
	}
	for _, p := range d.loop.status.Peers {
		d.restoreVoter(now, p)
	}
	d.removeUnresponsive(now)
	waiting := d.memberRequests[:0]
	for _, r := range d.memberRequests {
		if !d.advanceMemberRequest(now, r) {
			waiting = append(waiting, r)
		}
	}
	d.memberRequests = waiting
}

// restoreVoter demotes a voter that answers from a new data folder, and promotes it again once it
// has caught up.
func (d *leaderState) restoreVoter(now time.Time, p masticquorum.PeerStatus) {
	switch {
	case p.StorageReplaced:
		_ = d.proposeMemberChange(now, masticquorum.Change{Kind: masticquorum.ChangeDemote, ID: p.ID}, "its data folder was replaced")
	case d.loop.replacedMembers.awaitingPromotion[p.ID] && p.CaughtUp:
		_ = d.proposeMemberChange(now, masticquorum.Change{Kind: masticquorum.ChangePromote, ID: p.ID}, "it has caught up after its data folder was replaced")
	}
}

// advanceMemberRequest proposes the next step of a request. It reports whether the request's call
// was answered.
func (d *leaderState) advanceMemberRequest(now time.Time, r memberRequest) bool {
	if r.call.abandoned() {
		r.call.fail(masticerror.New(masticerror.KindCancelled, "the caller no longer waits"))
		return true
	}
	change, done := d.nextChange(r.request)
	if done {
		r.call.answer(&masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Member{Member: &masticproto.MemberAnswer{}}})
		return true
	}
	if change.Kind == masticquorum.ChangeRemove && change.ID == d.loop.id && len(d.loop.status.Peers) > 0 {
		d.loop.log.Info("resigning as leader: an operator removes this host")
		d.loop.core.Resign(now)
		return false
	}
	err := d.proposeMemberChange(now, change, "requested by an operator")
	switch masticerror.KindOf(err) {
	case "", masticerror.KindConflict:
		return false
	default:
		r.call.fail(err)
		return true
	}
}

// nextChange returns the next change towards the requested member list, or true if the list is
// already as requested.
func (d *leaderState) nextChange(q *masticproto.MemberRequest) (masticquorum.Change, bool) {
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
		// Removes the host rather than demoting it: a demoted voter would be promoted again.
		return masticquorum.Change{Kind: masticquorum.ChangeRemove, ID: id}, false
	default:
		return masticquorum.Change{}, true
	}
}

func (d *leaderState) proposeMemberChange(now time.Time, c masticquorum.Change, reason string) error {
	err := d.loop.core.ProposeMemberChange(now, c)
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
