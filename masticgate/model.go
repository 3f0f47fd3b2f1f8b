package masticgate

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"masticladder/masticcall"
	"masticladder/masticengine"
	"masticladder/masticerror"
	"masticladder/masticstream"
)

// modelCall is one model request over all its attempts.
type modelCall struct {
	inbound *inbound
	prompt  prompt
	request masticcall.Request
	// sequence is the progress of a streamed answer.
	sequence masticstream.Sequence
	// forwarded counts the events that the caller got.
	forwarded uint64
	// sent reports that a byte of some attempt may have reached a backend server.
	sent   bool
	usage  engineUsage
	tokens int64
	// server is the backend server of the last attempt, cached what it was believed to hold.
	server       string
	owner        string
	cachedTokens int64
	recomputed   int64
	buffer       []byte
	// pending is set while an event is written but not yet sent.
	pending bool
	// held says that the running attempt has a hold of its backend server.
	held bool
}

func (g *Gate) serveChat(q *inbound) { g.serveModel(q, readChat) }

func (g *Gate) serveCompletion(q *inbound) { g.serveModel(q, readCompletion) }

func (g *Gate) serveModel(q *inbound, read promptReader) {
	if e := q.authenticate(); e != nil {
		q.refuse(e)
		return
	}
	p, e := q.readPrompt(read)
	if e != nil {
		q.refuse(e)
		return
	}
	ctx, cancel := context.WithDeadline(q.request.Context(), q.deadline())
	defer cancel()
	m := newModelCall(q, p, q.deadline())
	m.finish(m.run(ctx))
}

func (q *inbound) readPrompt(read promptReader) (prompt, *masticerror.Error) {
	body, e := q.readBody()
	if e != nil {
		return prompt{}, e
	}
	if q.holdsKey(body) {
		return prompt{}, errHoldsKey()
	}
	profile := q.identity.profile
	p, e := parsePrompt(body, read, q.gate.limits, profile.MaxOutputTokens)
	if e != nil {
		return prompt{}, e
	}
	if !profile.AllowsModel(p.model) {
		return prompt{}, q.gate.errModel(p.model)
	}
	q.model = p.model
	return p, nil
}

// errModel tells a model that nobody has from one that this profile may not use.
func (g *Gate) errModel(model string) *masticerror.Error {
	for _, p := range g.views.View().Profiles() {
		if p.AllowsModel(model) {
			return masticerror.New(masticerror.KindForbidden, "the profile may not use this model")
		}
	}
	return masticerror.New(masticerror.KindUnknownModel, "no such model is configured")
}

// deadline returns the request's deadline: the caller's own, within the limit.
func (q *inbound) deadline() time.Time {
	l := q.gate.limits
	n, err := strconv.ParseInt(q.request.Header.Get(HeaderTimeout), 10, 64)
	if err != nil || n <= 0 {
		n = l.RequestMillis
	}
	return q.started.Add(millis(min(n, l.MaxRequestMillis)))
}

func newModelCall(q *inbound, p prompt, deadline time.Time) *modelCall {
	profile := q.identity.profile
	return &modelCall{
		inbound:  q,
		prompt:   p,
		sequence: masticstream.NewSequence(q.id),
		request: masticcall.Request{
			ID:           q.id,
			Workspace:    profile.Workspace,
			Weight:       q.identity.workspace.Weight,
			Model:        p.model,
			Class:        profile.Class,
			Levels:       p.levels,
			PromptTokens: p.promptTokens,
			OutputTokens: p.outputTokens,
			Digest:       p.digest,
			FirstTokenBy: q.gate.now().Add(millis(profile.FirstTokenMillis)),
			Deadline:     deadline,
		},
	}
}

// run admits the request and sends it to backend servers until it is answered or cannot be.
func (m *modelCall) run(ctx context.Context) *masticerror.Error {
	if e := m.recheck(); e != nil {
		return e
	}
	admission, e := m.admit(ctx)
	if e != nil {
		return e
	}
	e = m.attempts(ctx)
	admission.Settle(m.usedTokens())
	return e
}

// admit takes the request's tokens from the quota. It waits for a grant only as long
// as the first token can still be in time.
func (m *modelCall) admit(ctx context.Context) (masticcall.Admission, *masticerror.Error) {
	inTime, cancel := context.WithDeadline(ctx, m.request.FirstTokenBy)
	defer cancel()
	reserved := m.prompt.promptTokens + m.prompt.outputTokens
	a, err := m.inbound.gate.limiter.Admit(inTime, m.request.Workspace, reserved)
	switch {
	case err == nil:
		return a, nil
	case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
		return nil, masticerror.New(masticerror.KindRateLimited, "the workspace got no grant in time")
	default:
		return nil, notSent(err)
	}
}

// attempts sends the request until it is answered, or no further attempt is allowed.
func (m *modelCall) attempts(ctx context.Context) *masticerror.Error {
	var last *masticerror.Error
	for {
		a, e := m.acquireApart(ctx)
		if e != nil {
			return m.better(e, last)
		}
		f := m.attempt(ctx, a)
		m.endHold(a, f)
		if f == nil {
			return nil
		}
		last = f.Err
		if !f.Retryable() {
			return m.final(f)
		}
		m.request.Avoid = append(slices.Clone(m.request.Avoid), m.server)
		m.request.Attempt++
		if m.request.Attempt >= m.inbound.gate.limits.MaxAttempts || !backOff(ctx, m.inbound.gate.now(), m.request.Attempt) {
			return last
		}
	}
}

// acquire waits for a backend server. The key is checked before and after the wait.
func (m *modelCall) acquire(ctx context.Context) (masticcall.Assignment, *masticerror.Error) {
	g := m.inbound.gate
	if e := m.recheck(); e != nil {
		return nil, e
	}
	a, err := g.dispatcher.Acquire(ctx, m.request)
	if err != nil {
		return nil, notSent(err)
	}
	if e := m.recheck(); e != nil {
		a.Done(g.now(), masticcall.Result{Failure: string(e.Kind())})
		return nil, e
	}
	return a, nil
}

// recheck checks the key, the profile's model and the quarantine against the newest view.
func (m *modelCall) recheck() *masticerror.Error {
	g := m.inbound.gate
	if e := g.recheck(m.inbound.identity, m.prompt.allowedBy); e != nil {
		return e
	}
	q, ok := g.views.View().Quarantine(m.prompt.digest)
	if now := g.now(); ok && q.Until.After(now) {
		e := masticerror.New(masticerror.KindQuarantined, "requests with this content ended more than one backend server")
		return e.WithRetryAfter(q.Until.Sub(now))
	}
	return nil
}

// better prefers the failure of a real attempt to the news that no server is left.
func (m *modelCall) better(e, last *masticerror.Error) *masticerror.Error {
	if last != nil && e.Kind() == masticerror.KindNoServer {
		return last
	}
	return e
}

// final answers a server's own verdict on the request as the server gave it.
func (m *modelCall) final(f *masticengine.Failure) *masticerror.Error {
	if f.Rejected == nil || m.inbound.answered {
		return f.Err
	}
	m.relay(*f.Rejected)
	return f.Err
}

// notSent gives an error from before a dispatch its kind.
func notSent(err error) *masticerror.Error {
	var known *masticerror.Error
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, context.DeadlineExceeded):
		return masticerror.New(masticerror.KindDeadline, "the request's deadline passed")
	case errors.Is(err, context.Canceled):
		return masticerror.New(masticerror.KindCancelled, "the caller went away")
	}
	return masticerror.From(err)
}

// usedTokens returns what the workspace's quota is charged with.
func (m *modelCall) usedTokens() int64 {
	if !m.sent {
		return 0
	}
	return m.inputTokens() + m.outputTokens()
}

func (m *modelCall) inputTokens() int64 {
	if m.usage.PromptTokens > 0 {
		return m.usage.PromptTokens
	}
	return m.prompt.promptTokens
}

func (m *modelCall) outputTokens() int64 {
	if m.usage.CompletionTokens > 0 {
		return m.usage.CompletionTokens
	}
	return m.tokens
}

// finish answers what is still to be answered, and counts and logs the request.
func (m *modelCall) finish(e *masticerror.Error) {
	q := m.inbound
	if e != nil && m.sent {
		e = e.WithSent()
	}
	m.count(e)
	switch {
	case e == nil:
	case m.sequence.Next() > 0:
		m.errorEvent(e)
	case !q.answered:
		q.answerError(e)
	}
	q.logEnd(e, m.server)
}

func (m *modelCall) count(e *masticerror.Error) {
	u := masticcall.UsageRecord{
		Workspace:   m.request.Workspace,
		Profile:     m.inbound.identity.profile.Name,
		Model:       m.request.Model,
		ServerOwner: m.owner,
	}
	if m.sent {
		u.InputTokens, u.OutputTokens = m.inputTokens(), m.outputTokens()
		u.CachedTokens, u.RecomputedTokens = m.usage.cached(), m.recomputed
	}
	if e != nil {
		u.Refusal = string(e.Kind())
	}
	m.inbound.gate.usage.Add(u)
}
