package masticgate

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"masticladder/masticcall"
	"masticladder/masticdrain"
	"masticladder/masticengine"
	"masticladder/masticerror"
	"masticladder/mastichold"
	"masticladder/masticstream"
)

// modelCall is one model request over all its attempts.
type modelCall struct {
	inbound *inbound
	prompt  prompt
	request masticcall.Request
	// sequence is the progress of a streamed response.
	sequence masticstream.Sequence
	// forwarded counts the events that were written to the caller.
	forwarded uint64
	// sent reports that a byte of some attempt may have reached a backend server.
	sent           bool
	usage          engineUsage
	streamedTokens int64
	// server is the backend server of the last attempt, serverOwner its owner, and cachedTokens
	// the number of prompt tokens that it was believed to have cached.
	server           string
	serverOwner      string
	cachedTokens     int64
	recomputedTokens int64
	buffer           []byte
	// unflushed is set while an event is written but not yet flushed.
	unflushed bool
	// held reports that the running attempt has an exclusive hold of its backend server.
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
	ctx, scope := q.gate.drain.plan.Sent(ctx)
	defer scope.End()
	ctx, watch := q.connection.Watch(ctx)
	defer watch.Stop()
	m := newModelCall(q, p, q.deadline())
	q.admit(p.model, q.deadline())
	m.finish(m.run(ctx))
}

func (q *inbound) readPrompt(read promptReader) (prompt, *masticerror.Error) {
	body, e := q.readBody()
	if e != nil {
		return prompt{}, e
	}
	if q.containsKey(body) {
		return prompt{}, errContainsKey()
	}
	profile := q.identity.profile
	p, e := parsePrompt(body, read, q.gate.limits, profile.MaxOutputTokens)
	if e != nil {
		return prompt{}, e
	}
	if !profile.AllowsModel(p.model) {
		return prompt{}, q.gate.modelError(p.model)
	}
	q.model = p.model
	return p, nil
}

// modelError returns the error for a model that the profile does not allow. It distinguishes a
// model that is not configured from one that only other profiles may use.
func (g *Gate) modelError(model string) *masticerror.Error {
	for _, p := range g.views.View().Profiles() {
		if p.AllowsModel(model) {
			return masticerror.New(masticerror.KindForbidden, "the profile may not use this model")
		}
	}
	return masticerror.New(masticerror.KindUnknownModel, "no such model is configured")
}

// deadline returns the request's deadline, from the caller's timeout within the limit.
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
			ID:                 q.id,
			Workspace:          profile.Workspace,
			Weight:             q.identity.workspace.Weight,
			Model:              p.model,
			Class:              profile.Class,
			Levels:             p.levels,
			PromptTokens:       p.promptTokens,
			OutputTokens:       p.outputTokens,
			Digest:             p.content.Digest,
			FirstTokenDeadline: q.gate.now().Add(millis(profile.FirstTokenMillis)),
			Deadline:           deadline,
		},
	}
}

// run acquires the quota and sends the request to backend servers until it is answered or fails.
func (m *modelCall) run(ctx context.Context) *masticerror.Error {
	if e := m.recheck(); e != nil {
		return e
	}
	admission, e := m.acquireQuota(ctx)
	if e != nil {
		return e
	}
	e = m.sendWithRetries(ctx)
	admission.Settle(m.usedTokens())
	return e
}

// acquireQuota takes the request's tokens from its workspace's quota. It waits for a grant only
// as long as the first token can still meet its deadline.
func (m *modelCall) acquireQuota(ctx context.Context) (masticcall.Admission, *masticerror.Error) {
	inTime, cancel := context.WithDeadline(ctx, m.request.FirstTokenDeadline)
	defer cancel()
	reserved := m.prompt.promptTokens + m.prompt.outputTokens
	a, err := m.inbound.gate.limiter.Admit(inTime, m.request.Workspace, reserved, time.Time{})
	switch {
	case err == nil:
		return a, nil
	case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
		return nil, masticerror.New(masticerror.KindRateLimited, "the workspace got no grant in time")
	default:
		return nil, preDispatchError(ctx, err)
	}
}

// sendWithRetries sends the request until it is answered or may not be retried.
func (m *modelCall) sendWithRetries(ctx context.Context) *masticerror.Error {
	var last *masticerror.Error
	for {
		a, e := m.acquireExclusive(ctx)
		if e != nil {
			return preferAttemptError(e, last)
		}
		f := m.attempt(ctx, a)
		m.releaseHold(a, f)
		if f == nil {
			return nil
		}
		last = f.Err
		if !f.Retryable() {
			return m.finalError(f)
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
		return nil, preDispatchError(ctx, err)
	}
	if e := m.recheck(); e != nil {
		a.Done(g.now(), masticcall.Result{Failure: string(e.Kind())})
		return nil, e
	}
	return a, nil
}

// recheck checks the caller's connection and the deadline, and the key, the profile's model and the quarantine against the
// newest view.
func (m *modelCall) recheck() *masticerror.Error {
	g := m.inbound.gate
	if e := m.inbound.waitingError(m.request.Deadline); e != nil {
		return e
	}
	if e := g.recheck(m.inbound.identity, m.prompt.allowedBy); e != nil {
		return e
	}
	return g.quarantineError(m.prompt.content)
}

// quarantineError returns the refusal of a request whose content, or a part of it, is quarantined by the
// newest view, nil for other requests.
func (g *Gate) quarantineError(content masticcall.Content) *masticerror.Error {
	return mastichold.QuarantineError(g.views.View(), g.now(), content)
}

// preferAttemptError returns last, the error of an attempt, rather than e if e only states that
// no server is left, or that the content is quarantined since.
func preferAttemptError(e, last *masticerror.Error) *masticerror.Error {
	if last != nil && (e.Kind() == masticerror.KindNoServer || e.Kind() == masticerror.KindQuarantined) {
		return last
	}
	return e
}

// finalError returns the error of a failure that may not be retried. If the server rejected the
// request, the server's own response is relayed unchanged.
func (m *modelCall) finalError(f *masticengine.Failure) *masticerror.Error {
	if f.Rejected == nil || m.inbound.answered {
		return f.Err
	}
	m.relayBody(*f.Rejected)
	return f.Err
}

// preDispatchError converts an error from before a dispatch in ctx to an error with a kind.
func preDispatchError(ctx context.Context, err error) *masticerror.Error {
	var known *masticerror.Error
	switch {
	case masticdrain.Error(ctx) != nil:
		return masticdrain.Error(ctx)
	case errors.As(err, &known):
		return known
	case errors.Is(err, context.DeadlineExceeded):
		return masticerror.New(masticerror.KindDeadline, "the request's deadline passed")
	case errors.Is(err, context.Canceled):
		return masticerror.New(masticerror.KindCancelled, "the caller went away")
	}
	return masticerror.From(err)
}

// usedTokens returns the number of tokens that are charged to the workspace's quota.
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
	return m.streamedTokens
}

// finish sends an error response or event if the request failed, and counts and logs the request.
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
	q.logOutcome(e, m.server)
}

func (m *modelCall) count(e *masticerror.Error) {
	u := masticcall.UsageRecord{
		Workspace:   m.request.Workspace,
		Profile:     m.inbound.identity.profile.Name,
		Model:       m.request.Model,
		ServerOwner: m.serverOwner,
	}
	if m.sent {
		u.InputTokens, u.OutputTokens = m.inputTokens(), m.outputTokens()
		u.CachedTokens, u.RecomputedTokens = m.usage.cached(), m.recomputedTokens
	}
	if e != nil {
		u.Refusal = string(e.Kind())
	}
	m.inbound.gate.usage.Add(u)
}
