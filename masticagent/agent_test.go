package masticagent

import (
	"context"
	"flag"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
	"masticladder/masticwire"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// fakeHost is a control host that answers every call with the answer function.
type fakeHost struct {
	server  *masticwire.Server
	running sync.WaitGroup
	answer  func(ctx context.Context) (*masticproto.PeerAnswer, error)
}

func newFakeHost(t *testing.T, answer func(context.Context) (*masticproto.PeerAnswer, error)) *fakeHost {
	h := &fakeHost{answer: answer}
	server, err := masticwire.New().Listen("127.0.0.1:0", h)
	if err != nil {
		t.Fatal(err)
	}
	h.server = server
	h.running.Add(1)
	go h.run()
	t.Cleanup(h.stop)
	return h
}

func (h *fakeHost) run() {
	defer h.running.Done()
	_ = h.server.Run()
}

func (h *fakeHost) stop() {
	h.server.Stop()
	h.running.Wait()
}

func (h *fakeHost) Answer(ctx context.Context, _ *masticproto.PeerRequest) (*masticproto.PeerAnswer, error) {
	return h.answer(ctx)
}

func (h *fakeHost) Receive(*masticproto.PeerRequest) {}

func (h *fakeHost) Stream(context.Context, *masticproto.PeerRequest, func(*masticproto.PeerAnswer) error) error {
	return nil
}

func answersCommand(context.Context) (*masticproto.PeerAnswer, error) {
	return &masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Command{Command: &masticproto.CommandAnswer{Done: true}}}, nil
}

func neverAnswers(ctx context.Context) (*masticproto.PeerAnswer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func redirectsTo(address string) func(context.Context) (*masticproto.PeerAnswer, error) {
	return func(context.Context) (*masticproto.PeerAnswer, error) {
		return nil, masticwire.NewAnswerError(masticerror.New(masticerror.KindNotLeader, "not here"), "x", address)
	}
}

func callWith(t *testing.T, timeout time.Duration, addresses ...string) (leaderAnswer, error) {
	l, err := newLeaderClient(masticwire.New(), addresses, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	q := &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Status{Status: &masticproto.StatusRequest{}}}
	return l.call(ctx, q, 50*time.Millisecond)
}

const closedAddress = "127.0.0.1:1"

func TestCallFindsTheLeader(t *testing.T) {
	c := quicktest.New(t)
	leader := newFakeHost(t, answersCommand).server.Address()
	redirecting := newFakeHost(t, redirectsTo(leader)).server.Address()
	knowsNoLeader := newFakeHost(t, redirectsTo("")).server.Address()
	redirectsToClosed := newFakeHost(t, redirectsTo(closedAddress)).server.Address()
	hangs := newFakeHost(t, neverAnswers).server.Address()
	for _, first := range []string{leader, redirecting, knowsNoLeader, redirectsToClosed, hangs, closedAddress} {
		a, err := callWith(t, 20*time.Second, first, leader)
		c.Assert(err, quicktest.IsNil)
		c.Assert(a.address, quicktest.Equals, leader)
	}
}

func TestCallDistinguishesUnknownOutcomeFromNotRun(t *testing.T) {
	c := quicktest.New(t)
	hangs := newFakeHost(t, neverAnswers).server.Address()
	knowsNoLeader := newFakeHost(t, redirectsTo("")).server.Address()

	_, err := callWith(t, 200*time.Millisecond, closedAddress)
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindNoQuorum)
	c.Assert(masticerror.From(err).NotRun(), quicktest.IsTrue)

	_, err = callWith(t, 400*time.Millisecond, hangs, knowsNoLeader)
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindOutcomeUnknown)
	c.Assert(masticerror.From(err).NotRun(), quicktest.IsFalse)

	conflict := newFakeHost(t, func(context.Context) (*masticproto.PeerAnswer, error) {
		return nil, masticerror.New(masticerror.KindConflict, "another revision")
	}).server.Address()
	_, err = callWith(t, 20*time.Second, conflict)
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindConflict)
}

// TestViewRevisionNeverDecreases delivers updates late, repeatedly and with gaps.
func TestViewRevisionNeverDecreases(t *testing.T) {
	const revisions = 12
	history := []masticview.View{{}}
	var deltas []*masticproto.ViewDelta
	for i := range revisions {
		change := &masticproto.ViewChange{Workspaces: []*masticproto.Workspace{
			{Name: "saws", Owner: "association", RateTokensPerSecond: int64(i + 1), BurstTokens: 1},
		}}
		next, err := history[i].Apply(change, time.UnixMilli(1))
		if err != nil {
			t.Fatal(err)
		}
		history = append(history, next)
		deltas = append(deltas, &masticproto.ViewDelta{Revision: uint64(i + 1), AtUnixMs: 1, Change: change})
	}
	rapid.Check(t, func(t *rapid.T) {
		v := masticview.View{}
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			from := rapid.IntRange(0, revisions-1).Draw(t, "from")
			to := rapid.IntRange(from+1, revisions).Draw(t, "to")
			u := &masticproto.ViewUpdate{Deltas: deltas[from:to]}
			if rapid.Bool().Draw(t, "whole") {
				u = &masticproto.ViewUpdate{Whole: history[to].Snapshot()}
			}
			next, err := applyUpdate(v, u)
			want := v.Revision()
			if u.GetWhole() != nil || uint64(from) <= v.Revision() {
				want = max(want, uint64(to))
			}
			if next.Revision() != want || (err != nil) != (u.GetWhole() == nil && uint64(from) > v.Revision()) {
				t.Fatalf("revision %d after %d and [%d, %d], want %d: %v", next.Revision(), v.Revision(), from, to, want, err)
			}
			w, _ := next.Workspace("saws")
			if w.RateTokensPerSecond != int64(next.Revision()) {
				t.Fatalf("revision %d holds the content of %d", next.Revision(), w.RateTokensPerSecond)
			}
			v = next
		}
	})
}
