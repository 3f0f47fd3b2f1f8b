package masticquorum

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

var testStart = time.Unix(1000, 0)

func at(millis int) time.Time { return testStart.Add(time.Duration(millis) * time.Millisecond) }

// boundCore returns the core of host a among the voters a, b and c, each with its own name as storage.
func boundCore(hard *masticproto.HardState, start time.Time, entries ...*masticproto.Entry) *Core {
	var members []*masticproto.Member
	for _, id := range []string{"a", "b", "c"} {
		members = append(members, &masticproto.Member{Id: id, Voter: true, Storage: id})
	}
	snapshot := &masticproto.Snapshot{Index: 1, Term: 1, Members: &masticproto.Members{Members: members}}
	c, err := New(
		WithID("a"), WithStorage("a"), WithStart(start), WithHardState(hard), WithSnapshot(snapshot), WithLog(entries),
		WithElectionTimeout(testElection), WithHeartbeat(testHeartbeat),
	)
	if err != nil {
		panic(err)
	}
	return c
}

// drain does all that the core asks for and returns its messages and the last hard state.
func drain(c *Core) ([]*masticproto.QuorumMessage, *masticproto.HardState) {
	var sent []*masticproto.QuorumMessage
	var hard *masticproto.HardState
	for {
		r, some := c.Ready()
		if !some {
			return sent, hard
		}
		sent = append(sent, r.Messages...)
		if r.HardState != nil {
			hard = r.HardState
		}
		c.Advance(r)
	}
}

// from returns a message of a host to a.
func from(id string, kind masticproto.MessageKind, term uint64) *masticproto.QuorumMessage {
	return &masticproto.QuorumMessage{Kind: kind, From: id, Storage: id, To: "a", Term: term, Index: 1, LogTerm: 1}
}

const (
	voteKind         = masticproto.MessageKind_MESSAGE_VOTE
	voteAnswerKind   = masticproto.MessageKind_MESSAGE_VOTE_ANSWER
	preAnswerKind    = masticproto.MessageKind_MESSAGE_PRE_VOTE_ANSWER
	resignKind       = masticproto.MessageKind_MESSAGE_RESIGN
	appendKind       = masticproto.MessageKind_MESSAGE_APPEND
	appendAnswerKind = masticproto.MessageKind_MESSAGE_APPEND_ANSWER
)

// lead makes a the leader of the next term at its election timeout and returns that time.
func lead(c *Core) time.Time {
	now := c.NextDeadline()
	c.Tick(now)
	drain(c)
	c.Step(now, from("b", preAnswerKind, c.term+1))
	c.Step(now, from("b", voteAnswerKind, c.term))
	return now
}

func TestVoterKeepsItsPromise(t *testing.T) {
	c := qt.New(t)
	a := boundCore(nil, at(0))
	a.Step(at(200), from("b", appendKind, 2))
	_, hard := drain(a)
	a.Step(at(299), from("c", voteKind, 3))
	sent, _ := drain(a)
	c.Assert(sent, qt.HasLen, 0)
	c.Assert(a.term, qt.Equals, uint64(2))

	for _, resigned := range []*masticproto.QuorumMessage{from("b", resignKind, 1), from("c", resignKind, 2)} {
		a.Step(at(299), resigned)
	}
	a.Step(at(299), from("c", voteKind, 3))
	sent, _ = drain(a)
	c.Assert(sent, qt.HasLen, 0)
	a.Step(at(299), from("b", resignKind, 2))
	a.Step(at(299), from("c", voteKind, 3))
	sent, _ = drain(a)
	c.Assert(sent, qt.HasLen, 1)

	restarted := boundCore(hard, at(250))
	restarted.Step(at(349), from("c", voteKind, 3))
	sent, _ = drain(restarted)
	c.Assert(sent, qt.HasLen, 0)
	restarted.Step(at(350), from("c", voteKind, 3))
	sent, _ = drain(restarted)
	c.Assert(sent, qt.HasLen, 1)
	c.Assert(sent[0].GetReject(), qt.IsFalse)
}

func TestLeaseCountsFromSending(t *testing.T) {
	c := qt.New(t)
	a := boundCore(nil, at(0))
	now := lead(a)
	c.Assert(a.role, qt.Equals, roleLeader)
	drain(a)
	answer := from("b", appendAnswerKind, a.term)
	answer.Round = a.round
	answer.Reject = true
	late := now.Add(80 * time.Millisecond)
	a.Step(late, answer)
	s := a.Status(late)
	c.Assert(s.LeaseUntil, qt.Equals, now.Add(90*time.Millisecond))
	c.Assert(s.LeaseHeld, qt.IsFalse, qt.Commentf("nothing of the term is applied"))
	answer.Index = a.log.last()
	answer.Reject = false
	a.Step(late, answer)
	drain(a)
	c.Assert(a.Status(late).LeaseHeld, qt.IsTrue)
	c.Assert(a.Status(now.Add(90*time.Millisecond)).LeaseHeld, qt.IsFalse)
}

func TestLeaderIgnoresRequestsForVotes(t *testing.T) {
	c := qt.New(t)
	a := boundCore(nil, at(0))
	now := lead(a)
	a.Step(now.Add(time.Millisecond), from("c", voteKind, 9))
	c.Assert(a.role, qt.Equals, roleLeader)
}

func TestFirstElectionNeedsAllAndBinds(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 0)
	n.hosts[2].pausedUntil = n.now.Add(10 * testElection)
	n.run(9 * testElection)
	c.Assert(n.leaders, qt.HasLen, 0)
	n.run(10 * testElection)
	c.Assert(n.leaders, qt.HasLen, 1)
	c.Assert(memberList{members: n.members}.bound(), qt.IsTrue)
}

func TestVoteIsForOneStorage(t *testing.T) {
	c := qt.New(t)
	a := boundCore(nil, at(0))
	a.Step(at(200), from("b", voteKind, 2))
	_, hard := drain(a)
	c.Assert(hard.GetVote()+hard.GetVoteStorage(), qt.Equals, "bb")
	m := from("b", voteKind, 2)
	m.Storage = "another"
	a.Step(at(200), m)
	sent, _ := drain(a)
	c.Assert(sent[0].GetReject(), qt.IsTrue)
}

func TestVoteNeedsTheLaterTermFirst(t *testing.T) {
	c := qt.New(t)
	a := boundCore(nil, at(0), &masticproto.Entry{Index: 2, Term: 3})
	m := from("b", voteKind, 4)
	m.Index, m.LogTerm = 9, 2
	a.Step(at(200), m)
	m.Index, m.LogTerm = 2, 3
	a.Step(at(200), m)
	sent, _ := drain(a)
	c.Assert(sent[0].GetReject(), qt.IsTrue)
	c.Assert(sent[1].GetReject(), qt.IsFalse)
}

func TestVoteIsSavedWithoutNewTerm(t *testing.T) {
	c := qt.New(t)
	a := boundCore(&masticproto.HardState{Term: 2}, at(0))
	a.Step(at(200), from("b", voteKind, 2))
	r, _ := a.Ready()
	c.Assert(r.HardState.GetVote(), qt.Equals, "b")
}

func TestAnotherStorageDoesNotCount(t *testing.T) {
	c := qt.New(t)
	a := boundCore(nil, at(0))
	a.Tick(a.NextDeadline())
	vote := from("b", preAnswerKind, a.term+1)
	vote.Storage = "new"
	a.Step(a.NextDeadline(), vote)
	c.Assert(a.role, qt.Equals, rolePreCandidate)
	now := lead(a)
	drain(a)
	answer := from("b", appendAnswerKind, a.term)
	answer.Storage = "new"
	answer.Index = a.log.last()
	answer.Round = a.round
	a.Step(now, answer)
	s := a.Status(now)
	c.Assert(s.Commit, qt.Equals, uint64(1))
	c.Assert(s.LeaseUntil.Before(now), qt.IsTrue)
	c.Assert(s.Peers[0].Replaced, qt.IsTrue)
}

func TestAnswersToALostFolderAreDropped(t *testing.T) {
	c := qt.New(t)
	a := boundCore(nil, at(0))
	a.Tick(a.NextDeadline())
	m := from("b", preAnswerKind, a.term+1)
	m.ToStorage = "lost"
	a.Step(a.NextDeadline(), m)
	c.Assert(a.role, qt.Equals, rolePreCandidate)
}

func TestOnlyEntriesOfTheTermCommit(t *testing.T) {
	c := qt.New(t)
	a := boundCore(&masticproto.HardState{Term: 2}, at(0), &masticproto.Entry{Index: 2, Term: 2})
	now := lead(a)
	drain(a)
	m := from("b", appendAnswerKind, a.term)
	m.Index = 2
	a.Step(now, m)
	c.Assert(a.commit, qt.Equals, uint64(1))
	m.Index = 3
	a.Step(now, m)
	c.Assert(a.commit, qt.Equals, uint64(3))

	_, _, err := a.Propose(now, []byte("at once"))
	c.Assert(err, qt.IsNil)
	sent, _ := drain(a)
	c.Assert(sent[len(sent)-1].GetEntries(), qt.HasLen, 1, qt.Commentf("an entry waits for a heartbeat"))
}

func TestLeaderCountsOnlyItsDurableEntries(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 1, 0)
	n.run(time.Millisecond)
	a := n.hosts[0].core
	first, _, _ := a.Propose(n.now, nil)
	r, _ := a.Ready()
	_, _, _ = a.Propose(n.now, nil)
	a.Advance(r)
	c.Assert(a.commit, qt.Equals, first)
}

func TestChangesGoOneAtATime(t *testing.T) {
	c := qt.New(t)
	a := boundCore(nil, at(0))
	now := lead(a)
	add := Change{Kind: ChangeAdd, ID: "d"}
	c.Assert(masticerror.KindOf(a.ProposeMembers(now, add)), qt.Equals, masticerror.KindConflict)
	drain(a)
	m := from("b", appendAnswerKind, a.term)
	m.Index = a.log.last()
	m.Round = a.round
	a.Step(now, m)
	c.Assert(a.ProposeMembers(now, add), qt.IsNil)
	for _, change := range []Change{{Kind: ChangeAdd, ID: "e"}, {Kind: ChangeRemove, ID: "c"}} {
		c.Assert(masticerror.KindOf(a.ProposeMembers(now, change)), qt.Equals, masticerror.KindConflict)
	}
	drain(a)
	m.Index = a.log.last()
	a.Step(now, m)
	d := from("d", appendAnswerKind, a.term)
	d.Round = a.round
	a.Step(now, d)
	for change, kind := range map[Change]masticerror.Kind{
		{Kind: ChangePromote, ID: "d"}: masticerror.KindConflict,
		{Kind: ChangeRemove, ID: "a"}:  masticerror.KindBadRequest,
		{Kind: ChangeDemote, ID: "b"}:  masticerror.KindNoQuorum,
		{Kind: ChangeDemote, ID: "f"}:  masticerror.KindNotFound,
	} {
		c.Assert(masticerror.KindOf(a.ProposeMembers(now, change)), qt.Equals, kind, qt.Commentf("%v", change))
	}
	c.Assert(a.ProposeMembers(now, Change{Kind: ChangeDemote, ID: "c"}), qt.IsNil)
}
