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
		Server:    a.Server(),
		RequestID: m.inbound.id,
		Method:    http.MethodPost,
		Path:      m.inbound.request.URL.Path,
		Header:    http.Header{"Content-Type": {"application/json"}},
		Body:      m.prompt.body,
		Priority:  a.Priority(),
		CacheSalt: a.CacheSalt(),
		Sequence:  m.sequence,
		Digest:    m.prompt.digest,
		Guard:     m.guard,
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
			return "", failureOf(err)
		}
		if first {
			a.FirstToken(m.inbound.gate.now())
		}
		if err := m.pass(e, s.Buffered()); err != nil {
			return "", &masticengine.Failure{
				Err:         masticerror.New(masticerror.KindCancelled, "the caller took no more of the answer"),
				Sent:        true,
				Incarnation: s.Incarnation(),
			}
		}
		if e.IsEnd() {
			return s.Incarnation(), nil
		}
	}
}

// pass gives one event to the caller. It is sent at once unless more follow without waiting.
func (m *modelCall) pass(e masticstream.Event, more bool) error {
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
	if err := q.write(m.buffer); err != nil {
		return err
	}
	if more && !e.IsEnd() {
		return nil
	}
	return q.flush()
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
