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

func TestReplacedMembersAreDerivedFromMemberEntries(t *testing.T) {
	c := quicktest.New(t)
	r := replacedMembers{}.withMembers(voters("abc", ""))
	c.Assert(r.awaitingPromotion, quicktest.HasLen, 0)
	r = r.withMembers(voters("ab", "c"))
	c.Assert(r.awaitingPromotion["c"], quicktest.IsTrue)
	c.Assert(r.withMembers(voters("abd", "c")).awaitingPromotion["c"], quicktest.IsTrue)
	c.Assert(r.withMembers(voters("abc", "")).awaitingPromotion, quicktest.HasLen, 0)
	removed := r.withMembers(voters("ab", ""))
	c.Assert(removed.awaitingPromotion, quicktest.HasLen, 0)
	c.Assert(removed.withMembers(voters("ab", "c")).awaitingPromotion, quicktest.HasLen, 0)
}
