package masticcontrol

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"masticladder/masticproto"
)

// replaced are the members that a leader demoted because their data folder was replaced,
// and that have to vote again. Every host derives them from the member entries, so that
// a new leader goes on: only such a demotion turns a voter into a learner in one entry.
type replaced struct {
	members []*masticproto.Member
	waiting map[string]bool
}

// with returns what follows from the next member list. It is a new value.
func (r replaced) with(members []*masticproto.Member) replaced {
	next := replaced{members: members, waiting: maps.Clone(r.waiting)}
	if next.waiting == nil {
		next.waiting = map[string]bool{}
	}
	for id := range r.waiting {
		if m := memberOf(members, id); m == nil || m.GetVoter() {
			delete(next.waiting, id)
		}
	}
	for _, before := range r.members {
		m := memberOf(members, before.GetId())
		if before.GetVoter() && m != nil && !m.GetVoter() {
			next.waiting[m.GetId()] = true
		}
	}
	return next
}

// membersCommitted takes note of a committed member list.
func (l *loop) membersCommitted(e *masticproto.Entry) {
	var list masticproto.Members
	if err := proto.Unmarshal(e.GetData(), &list); err != nil {
		l.log.WithError(err).Error("a member list could not be read")
		return
	}
	l.replaced = l.replaced.with(list.GetMembers())
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
