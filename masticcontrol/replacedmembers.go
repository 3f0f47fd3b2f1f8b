package masticcontrol

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
)

// replacedMembers are the members that a leader demoted because their data folder was replaced
// and that have to be promoted again. Every host derives them from the committed member lists, so
// that a new leader can complete the promotion: no other change turns a voter into a learner in
// one entry.
type replacedMembers struct {
	members           []*masticproto.Member
	awaitingPromotion map[string]bool
}

// withMembers returns a new value that follows from the next member list.
func (r replacedMembers) withMembers(members []*masticproto.Member) replacedMembers {
	next := replacedMembers{members: members, awaitingPromotion: maps.Clone(r.awaitingPromotion)}
	if next.awaitingPromotion == nil {
		next.awaitingPromotion = map[string]bool{}
	}
	for id := range r.awaitingPromotion {
		if m := memberOf(members, id); m == nil || m.GetVoter() {
			delete(next.awaitingPromotion, id)
		}
	}
	for _, before := range r.members {
		m := memberOf(members, before.GetId())
		if before.GetVoter() && m != nil && !m.GetVoter() {
			next.awaitingPromotion[m.GetId()] = true
		}
	}
	return next
}

// membersCommitted processes a committed member list.
func (l *loop) membersCommitted(e *masticproto.Entry) {
	var list masticproto.Members
	if err := proto.Unmarshal(e.GetData(), &list); err != nil {
		l.log.WithError(err).Error("committed member list could not be decoded")
		return
	}
	l.replacedMembers = l.replacedMembers.withMembers(list.GetMembers())
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
