package masticassign

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticview"
)

func TestRequestRoundTrip(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	q := masticcall.ShardRequest{Host: "h", ID: 7, Request: masticcall.Request{
		ID: "q", Workspace: "mill", Weight: 2, Model: "advisor/saw", Class: masticview.ClassLong, Weights: "saw",
		Levels:       []masticcall.Level{{Role: "part", Text: "a", Tokens: 100}, {Role: "part", Text: "b", Tokens: 5}},
		PromptTokens: 105, OutputTokens: 20, Digest: masticview.DigestOf([]byte("x")), Shard: 3, Attempt: 1, Reacquired: true, Avoid: []string{"i-1"}, Software: masticcall.OnlySoftware("v2"),
		FirstTokenDeadline: now.Add(800 * time.Millisecond), Deadline: now.Add(8 * time.Second),
	}}
	got, ok := decodeRequest(now, encodeRequest(now, q))
	c.Assert(ok, qt.IsTrue)
	c.Assert(got, qt.DeepEquals, q)
	a := masticcall.ShardAssignment{
		Server: "i-1", Incarnation: "5", WeightsVersion: "2", FetchAddress: "10.0.0.1:1", SaveAddress: "10.0.0.2:1",
		CachedTokens: 9, Wait: time.Millisecond, Prefill: 3 * time.Millisecond, Busy: true, Candidates: "i-1=shard:4:9",
	}
	c.Assert(decodeAssignment(encodeAssignment(a)), qt.DeepEquals, a)
	u := masticcall.ShardUpdate{Host: "h", ID: 7, Done: true, Result: masticcall.Result{
		Failure: "backendFailed", ServerEnded: true, Paused: true, ServerIncarnation: "5", CachedTokens: 3, CachedUnknown: true,
	}}
	c.Assert(decodeUpdate(encodeUpdate(u)), qt.DeepEquals, u)
}

// TestCoordinatorRejectsPromptsOfManyParts: a coordinator took a request with over 64 parts for a malformed one, and
// its host asked that coordinator nothing more for a while.
func TestCoordinatorRejectsPromptsOfManyParts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	for _, n := range []int{maxLevels - 1, maxLevels, maxLevels + 1, 1300} {
		r := masticcall.Request{PromptTokens: int64(n), Shard: 1}
		for i := range n {
			r.Levels = append(r.Levels, masticcall.Level{Role: "part", Text: fmt.Sprint(i), Tokens: 1})
		}
		got, ok := decodeRequest(now, encodeRequest(now, masticcall.ShardRequest{Host: "h", Request: r}))
		c.Assert(ok, qt.IsTrue, qt.Commentf("%d parts", n))
		c.Assert(got.Request.Levels, qt.DeepEquals, r.Levels[:min(n, maxLevels)])
		c.Assert(got.Request.PromptTokens, qt.Equals, int64(n))
	}
}

// TestCoordinatorRejectsRequestsThatStateAbsurdTokens: a caller that stated too many tokens had its host ask the
// coordinator nothing more for a while.
func TestCoordinatorRejectsRequestsThatStateAbsurdTokens(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	for _, n := range []int64{math.MinInt64, -1, maxTokens, maxTokens + 1, math.MaxInt64} {
		r := masticcall.Request{PromptTokens: n, OutputTokens: n, Shard: 1, Levels: []masticcall.Level{{Text: "part", Tokens: n}}}
		got, ok := decodeRequest(now, encodeRequest(now, masticcall.ShardRequest{Host: "h", Request: r}))
		c.Assert(ok, qt.IsTrue, qt.Commentf("%d tokens", n))
		c.Assert(got.Request.PromptTokens, qt.Equals, min(max(n, 0), maxTokens))
	}
}

// TestMalformedRequestsAreRejected checks that what no host sends neither overflows nor reaches the
// scheduler.
func TestMalformedRequestsAreRejected(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	valid := func() *masticproto.AssignRequest {
		return encodeRequest(now, masticcall.ShardRequest{Request: masticcall.Request{Shard: 1, Deadline: now, FirstTokenDeadline: now}})
	}
	for name, change := range map[string]func(p *masticproto.AssignRequest){
		"no digest":       func(p *masticproto.AssignRequest) { p.Digest = nil },
		"no shard":        func(p *masticproto.AssignRequest) { p.Shard = 0 },
		"shard":           func(p *masticproto.AssignRequest) { p.Shard = math.MaxUint32 },
		"negative tokens": func(p *masticproto.AssignRequest) { p.PromptTokens = -1 },
		"many tokens":     func(p *masticproto.AssignRequest) { p.OutputTokens = math.MaxInt64 },
		"tokens of a level": func(p *masticproto.AssignRequest) {
			p.Levels = []*masticproto.PromptLevel{{Tokens: math.MaxInt64}}
		},
		"many servers to avoid": func(p *masticproto.AssignRequest) { p.Avoid = make([]string, maxAvoid+1) },
		"many levels":           func(p *masticproto.AssignRequest) { p.Levels = make([]*masticproto.PromptLevel, 1000) },
	} {
		p := valid()
		change(p)
		_, ok := decodeRequest(now, p)
		c.Check(ok, qt.IsFalse, qt.Commentf("%s", name))
	}
	p := valid()
	p.DeadlineMs, p.FirstTokenMs = math.MaxInt64, math.MinInt64
	q, ok := decodeRequest(now, p)
	c.Assert(ok, qt.IsTrue)
	c.Assert(q.Request.Deadline, qt.Equals, now.Add(maxTime))
	c.Assert(q.Request.FirstTokenDeadline, qt.Equals, now.Add(-maxTime))
}
