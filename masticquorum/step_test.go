package masticquorum

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

var testStart = time.Unix(1000, 0)

func timeAt(millis int) time.Time { return testStart.Add(time.Duration(millis) * time.Millisecond) }

// newBoundCore returns the core of host a in a group of voters a, b and c. Each is bound to a
// storage incarnation that equals its ID.
func newBoundCore(hardState *masticproto.HardState, start time.Time, entries ...*masticproto.Entry) *Core {
	var members []*masticproto.Member
	for _, id := range []string{"a", "b", "c"} {
		members = append(members, &masticproto.Member{Id: id, Voter: true, Storage: id})
	}
	snapshot := &masticproto.Snapshot{Index: 1, Term: 1, Members: &masticproto.Members{Members: members}}
	c, err := New(
		WithID("a"), WithStorageIncarnation("a"), WithStartTime(start), WithHardState(hardState), WithSnapshot(snapshot), WithEntries(entries),
		WithElectionTimeout(testElectionTimeout), WithHeartbeatInterval(testHeartbeatInterval),
	)
	if err != nil {
		panic(err)
	}
	return c
}

// drainReady completes all pending work of the core and returns its messages and the last hard state.
func drainReady(c *Core) ([]*masticproto.QuorumMessage, *masticproto.HardState) {
	var sent []*masticproto.QuorumMessage
	var hardState *masticproto.HardState
	for {
		r, pending := c.Ready()
		if !pending {
			return sent, hardState
		}
		sent = append(sent, r.Messages...)
		if r.HardState != nil {
			hardState = r.HardState
		}
		c.Advance(r)
	}
}

// messageFrom returns a message from a host to host a.
func messageFrom(id string, kind masticproto.MessageKind, term uint64) *masticproto.QuorumMessage {
	return &masticproto.QuorumMessage{Kind: kind, From: id, Storage: id, To: "a", Term: term, Index: 1, LogTerm: 1}
}

const (
	voteKind          = masticproto.MessageKind_MESSAGE_VOTE
	voteAnswerKind    = masticproto.MessageKind_MESSAGE_VOTE_ANSWER
	preVoteAnswerKind = masticproto.MessageKind_MESSAGE_PRE_VOTE_ANSWER
	resignKind        = masticproto.MessageKind_MESSAGE_RESIGN
	appendKind        = masticproto.MessageKind_MESSAGE_APPEND
	appendAnswerKind  = masticproto.MessageKind_MESSAGE_APPEND_ANSWER
)

// electLeader makes the core the leader of the next term at its election deadline and returns
// that time.
func electLeader(c *Core) time.Time {
	now := c.NextDeadline()
	c.Tick(now)
	drainReady(c)
	c.Step(now, messageFrom("b", preVoteAnswerKind, c.term+1))
	c.Step(now, messageFrom("b", voteAnswerKind, c.term))
	return now
}

func TestVoterRefusesVotesUntilElectionTimeout(t *testing.T) {
	c := qt.New(t)
	a := newBoundCore(nil, timeAt(0))
	a.Step(timeAt(200), messageFrom("b", appendKind, 2))
	_, hardState := drainReady(a)
	a.Step(timeAt(299), messageFrom("c", voteKind, 3))
	sent, _ := drainReady(a)
	c.Assert(sent, qt.HasLen, 0)
	c.Assert(a.term, qt.Equals, uint64(2))

	for _, resigned := range []*masticproto.QuorumMessage{
		messageFrom("b", resignKind, 1), messageFrom("c", resignKind, 2),
	} {
		a.Step(timeAt(299), resigned)
	}
	a.Step(timeAt(299), messageFrom("c", voteKind, 3))
	sent, _ = drainReady(a)
	c.Assert(sent, qt.HasLen, 0)
	a.Step(timeAt(299), messageFrom("b", resignKind, 2))
	a.Step(timeAt(299), messageFrom("c", voteKind, 3))
	sent, _ = drainReady(a)
	c.Assert(sent, qt.HasLen, 1)

	restarted := newBoundCore(hardState, timeAt(250))
	restarted.Step(timeAt(349), messageFrom("c", voteKind, 3))
	sent, _ = drainReady(restarted)
	c.Assert(sent, qt.HasLen, 0)
	restarted.Step(timeAt(350), messageFrom("c", voteKind, 3))
	sent, _ = drainReady(restarted)
	c.Assert(sent, qt.HasLen, 1)
	c.Assert(sent[0].GetReject(), qt.IsFalse)
}

func TestLeaseStartsWhenHeartbeatIsSent(t *testing.T) {
	c := qt.New(t)
	a := newBoundCore(nil, timeAt(0))
	now := electLeader(a)
	c.Assert(a.role, qt.Equals, roleLeader)
	drainReady(a)
	answer := messageFrom("b", appendAnswerKind, a.term)
	answer.Round = a.round
	answer.Reject = true
	late := now.Add(80 * time.Millisecond)
	a.Step(late, answer)
	s := a.Status(late)
	c.Assert(s.LeaseUntil, qt.Equals, now.Add(90*time.Millisecond))
	c.Assert(s.LeaseHeld, qt.IsFalse, qt.Commentf("no entry of the term is applied"))
	answer.Index = a.log.lastIndex()
	answer.Reject = false
	a.Step(late, answer)
	drainReady(a)
	c.Assert(a.Status(late).LeaseHeld, qt.IsTrue)
	c.Assert(a.Status(now.Add(90*time.Millisecond)).LeaseHeld, qt.IsFalse)
}

func TestLeaderIgnoresVoteRequests(t *testing.T) {
	c := qt.New(t)
	a := newBoundCore(nil, timeAt(0))
	now := electLeader(a)
	a.Step(now.Add(time.Millisecond), messageFrom("c", voteKind, 9))
	c.Assert(a.role, qt.Equals, roleLeader)
}

func TestFirstElectionNeedsAllVotersAndBindsStorage(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 0)
	n.hosts[2].pausedUntil = n.now.Add(10 * testElectionTimeout)
	n.run(9 * testElectionTimeout)
	c.Assert(n.leaders, qt.HasLen, 0)
	n.run(10 * testElectionTimeout)
	c.Assert(n.leaders, qt.HasLen, 1)
	c.Assert(memberList{members: n.members}.storageBound(), qt.IsTrue)
}

func TestVoteIsGrantedToOneStorageIncarnation(t *testing.T) {
	c := qt.New(t)
	a := newBoundCore(nil, timeAt(0))
	a.Step(timeAt(200), messageFrom("b", voteKind, 2))
	_, hardState := drainReady(a)
	c.Assert(hardState.GetVote()+hardState.GetVoteStorage(), qt.Equals, "bb")
	m := messageFrom("b", voteKind, 2)
	m.Storage = "another"
	a.Step(timeAt(200), m)
	sent, _ := drainReady(a)
	c.Assert(sent[0].GetReject(), qt.IsTrue)
}

func TestVoteComparesLastTermBeforeIndex(t *testing.T) {
	c := qt.New(t)
	a := newBoundCore(nil, timeAt(0), &masticproto.Entry{Index: 2, Term: 3})
	m := messageFrom("b", voteKind, 4)
	m.Index, m.LogTerm = 9, 2
	a.Step(timeAt(200), m)
	m.Index, m.LogTerm = 2, 3
	a.Step(timeAt(200), m)
	sent, _ := drainReady(a)
	c.Assert(sent[0].GetReject(), qt.IsTrue)
	c.Assert(sent[1].GetReject(), qt.IsFalse)
}

func TestVoteIsSavedWithoutTermChange(t *testing.T) {
	c := qt.New(t)
	a := newBoundCore(&masticproto.HardState{Term: 2}, timeAt(0))
	a.Step(timeAt(200), messageFrom("b", voteKind, 2))
	r, _ := a.Ready()
	c.Assert(r.HardState.GetVote(), qt.Equals, "b")
}

func TestAnswersFromAnotherStorageDoNotCount(t *testing.T) {
	c := qt.New(t)
	a := newBoundCore(nil, timeAt(0))
	a.Tick(a.NextDeadline())
	vote := messageFrom("b", preVoteAnswerKind, a.term+1)
	vote.Storage = "new"
	a.Step(a.NextDeadline(), vote)
	c.Assert(a.role, qt.Equals, rolePreCandidate)
	now := electLeader(a)
	drainReady(a)
	answer := messageFrom("b", appendAnswerKind, a.term)
	answer.Storage = "new"
	answer.Index = a.log.lastIndex()
	answer.Round = a.round
	a.Step(now, answer)
	s := a.Status(now)
	c.Assert(s.Commit, qt.Equals, uint64(1))
	c.Assert(s.LeaseUntil.Before(now), qt.IsTrue)
	c.Assert(s.Peers[0].StorageReplaced, qt.IsTrue)
}

func TestAnswersToPreviousStorageAreDropped(t *testing.T) {
	c := qt.New(t)
	a := newBoundCore(nil, timeAt(0))
	a.Tick(a.NextDeadline())
	m := messageFrom("b", preVoteAnswerKind, a.term+1)
	m.ToStorage = "lost"
	a.Step(a.NextDeadline(), m)
	c.Assert(a.role, qt.Equals, rolePreCandidate)
}

func TestOnlyCurrentTermEntriesCommitByCounting(t *testing.T) {
	c := qt.New(t)
	a := newBoundCore(&masticproto.HardState{Term: 2}, timeAt(0), &masticproto.Entry{Index: 2, Term: 2})
	now := electLeader(a)
	drainReady(a)
	m := messageFrom("b", appendAnswerKind, a.term)
	m.Index = 2
	a.Step(now, m)
	c.Assert(a.commit, qt.Equals, uint64(1))
	m.Index = 3
	a.Step(now, m)
	c.Assert(a.commit, qt.Equals, uint64(3))

	_, _, err := a.Propose(now, []byte("at once"))
	c.Assert(err, qt.IsNil)
	sent, _ := drainReady(a)
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

func TestMemberChangesAreSerialized(t *testing.T) {
	c := qt.New(t)
	a := newBoundCore(nil, timeAt(0))
	now := electLeader(a)
	add := Change{Kind: ChangeAdd, ID: "d"}
	c.Assert(masticerror.KindOf(a.ProposeMemberChange(now, add)), qt.Equals, masticerror.KindConflict)
	drainReady(a)
	m := messageFrom("b", appendAnswerKind, a.term)
	m.Index = a.log.lastIndex()
	m.Round = a.round
	a.Step(now, m)
	c.Assert(a.ProposeMemberChange(now, add), qt.IsNil)
	for _, change := range []Change{{Kind: ChangeAdd, ID: "e"}, {Kind: ChangeRemove, ID: "c"}} {
		c.Assert(masticerror.KindOf(a.ProposeMemberChange(now, change)), qt.Equals, masticerror.KindConflict)
	}
	drainReady(a)
	m.Index = a.log.lastIndex()
	a.Step(now, m)
	d := messageFrom("d", appendAnswerKind, a.term)
	d.Round = a.round
	a.Step(now, d)
	for change, kind := range map[Change]masticerror.Kind{
		{Kind: ChangePromote, ID: "d"}: masticerror.KindConflict,
		{Kind: ChangeRemove, ID: "a"}:  masticerror.KindBadRequest,
		{Kind: ChangeDemote, ID: "b"}:  masticerror.KindNoQuorum,
		{Kind: ChangeDemote, ID: "f"}:  masticerror.KindNotFound,
	} {
		c.Assert(masticerror.KindOf(a.ProposeMemberChange(now, change)), qt.Equals, kind, qt.Commentf("%v", change))
	}
	c.Assert(a.ProposeMemberChange(now, Change{Kind: ChangeDemote, ID: "c"}), qt.IsNil)
}

// TestHostWithReplacedStorageIsNoVoter guards against a host that lost its files and takes itself for a voter because the list still
// names its former storage: if the next host is emptied then, no quorum is left.
func TestHostWithReplacedStorageIsNoVoter(t *testing.T) {
	for storage, want := range map[string]bool{"a": true, "new": false} {
		c := qt.New(t)
		members := []*masticproto.Member{{Id: "a", Voter: true, Storage: "a"}, {Id: "b", Voter: true, Storage: "b"}, {Id: "c", Voter: true, Storage: "c"}}
		core, err := New(
			WithID("a"), WithStorageIncarnation(storage), WithStartTime(timeAt(0)),
			WithSnapshot(&masticproto.Snapshot{Index: 1, Term: 1, Members: &masticproto.Members{Members: members}}),
			WithElectionTimeout(testElectionTimeout), WithHeartbeatInterval(testHeartbeatInterval),
		)
		c.Assert(err, qt.IsNil)
		c.Assert(core.Status(timeAt(0)).Voter, qt.Equals, want)
	}
}
