package masticgate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"masticladder/masticcall"
	"masticladder/masticengine"
	"masticladder/masticerror"
	"masticladder/masticstream"
)

// engineUsage is the member usage of the usual protocol.
type engineUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	PromptDetails    struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u engineUsage) cached() int64 { return u.PromptDetails.CachedTokens }

// usageHolder is the part of an answer or event that carries the usage.
type usageHolder struct {
	Usage   *engineUsage      `json:"usage"`
	Choices []json.RawMessage `json:"choices"`
}

// attempt sends the request to one backend server and passes the answer on.
func (m *modelCall) attempt(ctx context.Context, a masticcall.Assignment) *masticengine.Failure {
	m.server, m.owner, m.cachedTokens = a.Server().Name, a.Server().Owner, a.CachedTokens()
	before := m.outputTokens()
	incarnation, f := m.exchange(ctx, a)
	r := masticcall.Result{
		ServerIncarnation: incarnation,
		CachedTokens:      m.usage.cached(),
		OutputTokens:      m.outputTokens() - before,
	}
	if f != nil {
		m.sent = m.sent || f.Sent
		r.Failure, r.ServerEnded, r.ServerIncarnation = string(f.Err.Kind()), f.ServerEnded, f.Incarnation
	}
	a.Done(m.inbound.gate.now(), r)
	m.countRecomputed(f)
	return f
}

// countRecomputed adds the prompt tokens that were computed although a cache was
// believed to hold them, or because an attempt was lost.
func (m *modelCall) countRecomputed(f *masticengine.Failure) {
	switch {
	case f != nil && f.Sent:
		m.recomputed += m.prompt.promptTokens
	case f == nil:
		m.recomputed += max(0, m.cachedTokens-m.usage.cached())
	}
}

func (m *modelCall) exchange(ctx context.Context, a masticcall.Assignment) (string, *masticengine.Failure) {
	if m.prompt.stream {
		return m.exchangeStream(ctx, a)
	}
	return m.exchangeWhole(ctx, a)
}

func (m *modelCall) call(a masticcall.Assignment) masticengine.Call {
	return masticengine.Call{
		Server:     a.Server(),
		RequestID:  m.inbound.id,
		Method:     http.MethodPost,
		Path:       m.inbound.request.URL.Path,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Body:       m.prompt.body,
		Priority:   a.Priority(),
		CacheSalt:  a.CacheSalt(),
		Sequence:   m.sequence,
		Digest:     m.prompt.digest,
		Guard:      m.inbound.gate.guard(m.inbound.identity, m.prompt.allowedBy),
		BeforeWait: m.sendPending,
	}
}

func (m *modelCall) exchangeWhole(ctx context.Context, a masticcall.Assignment) (string, *masticengine.Failure) {
	answer, err := m.inbound.gate.engine.Do(ctx, m.call(a))
	if err != nil {
		return "", failureOf(err)
	}
	m.sent = true
	a.FirstToken(m.inbound.gate.now())
	m.takeUsage(answer.Body)
	m.relay(answer)
	return answer.Incarnation, nil
}

func (m *modelCall) relay(a masticengine.Answer) {
	for name, values := range a.Header {
		m.inbound.writer.Header()[name] = values
	}
	m.inbound.answerJSON(a.Status, a.Body)
}

func (m *modelCall) exchangeStream(ctx context.Context, a masticcall.Assignment) (string, *masticengine.Failure) {
	s, err := m.inbound.gate.engine.Stream(ctx, m.call(a))
	if err != nil {
		return "", failureOf(err)
	}
	defer s.Close()
	m.sent = true
	for first := true; ; first = false {
		e, err := s.Next()
		m.sequence = s.Sequence()
		if err != nil {
			_ = m.sendPending()
			return "", failureOf(err)
		}
		if first {
			a.FirstToken(m.inbound.gate.now())
		}
		if e := m.pass(e); e != nil {
			return "", &masticengine.Failure{Err: e, Sent: true, Incarnation: s.Incarnation()}
		}
		if e.IsEnd() {
			_ = m.sendPending()
			return s.Incarnation(), nil
		}
	}
}

// pass writes one event for the caller. It is sent before the stream waits for more.
func (m *modelCall) pass(e masticstream.Event) *masticerror.Error {
	q := m.inbound
	if !q.answered {
		h := q.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		q.status(http.StatusOK)
	}
	if !m.isForCaller(e) {
		return nil
	}
	m.buffer = masticstream.AppendEvent(m.buffer[:0], q.id, m.forwarded, e.Data)
	m.forwarded++
	m.pending = true
	if q.write(m.buffer) != nil {
		return errCallerGone()
	}
	return nil
}

// sendPending sends what was written since the last time.
func (m *modelCall) sendPending() error {
	if !m.pending {
		return nil
	}
	m.pending = false
	if m.inbound.flush() != nil {
		return errCallerGone()
	}
	return nil
}

func errCallerGone() *masticerror.Error {
	return masticerror.New(masticerror.KindCancelled, "the caller took no more of the answer")
}

// isForCaller counts the event, and holds back a usage event that was not asked for.
func (m *modelCall) isForCaller(e masticstream.Event) bool {
	if e.IsEnd() {
		return true
	}
	if bytes.Contains(e.Data, []byte(`"usage":{`)) {
		if only := m.takeUsage(e.Data); only {
			return m.prompt.wantsUsage
		}
	}
	m.tokens++
	return true
}

// takeUsage reads the usage, and reports whether data holds nothing else.
func (m *modelCall) takeUsage(data []byte) bool {
	var h usageHolder
	if json.Unmarshal(data, &h) != nil || h.Usage == nil {
		return false
	}
	m.usage = *h.Usage
	return len(h.Choices) == 0
}

// errorEvent ends a stream that cannot be completed. No end mark follows it.
func (m *modelCall) errorEvent(e *masticerror.Error) {
	q := m.inbound
	m.buffer = append(m.buffer[:0], "event: error\ndata: "...)
	m.buffer = append(m.buffer, q.errorBody(e)...)
	m.buffer = append(m.buffer, "\n\n"...)
	if q.write(m.buffer) == nil {
		_ = q.flush()
	}
}

func failureOf(err error) *masticengine.Failure {
	var f *masticengine.Failure
	if errors.As(err, &f) {
		return f
	}
	return &masticengine.Failure{Err: masticerror.From(err), Sent: true}
}
