package masticcontrol

import (
	"testing"

	"github.com/frankban/quicktest"

	"masticladder/masticproto"
)

func voters(ids string, learners string) []*masticproto.Member {
	var list []*masticproto.Member
	for _, id := range ids {
		list = append(list, &masticproto.Member{Id: string(id), Voter: true})
	}
	for _, id := range learners {
		list = append(list, &masticproto.Member{Id: string(id)})
	}
	return list
}

func TestReplacedMembersFollowFromTheMemberEntries(t *testing.T) {
	c := quicktest.New(t)
	r := replaced{}.with(voters("abc", ""))
	c.Assert(r.waiting, quicktest.HasLen, 0)
	r = r.with(voters("ab", "c"))
	c.Assert(r.waiting["c"], quicktest.IsTrue)
	c.Assert(r.with(voters("abd", "c")).waiting["c"], quicktest.IsTrue)
	c.Assert(r.with(voters("abc", "")).waiting, quicktest.HasLen, 0)
	removed := r.with(voters("ab", ""))
	c.Assert(removed.waiting, quicktest.HasLen, 0)
	c.Assert(removed.with(voters("ab", "c")).waiting, quicktest.HasLen, 0)
}
