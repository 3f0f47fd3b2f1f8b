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
	"masticladder/masticjson"
	"masticladder/masticstream"
)

// engineUsage is the member usage of the OpenAI-compatible API.
type engineUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	PromptDetails    struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (u engineUsage) cached() int64 { return u.PromptDetails.CachedTokens }

// usageEnvelope is the part of a response or event that carries the usage.
type usageEnvelope struct {
	Usage   *engineUsage `json:"usage"`
	Choices choices      `json:"choices"`
}

// choices reports whether there are any, without keeping them.
type choices struct{ any bool }

// UnmarshalJSON reads an array.
func (x *choices) UnmarshalJSON(raw []byte) error {
	if masticjson.IsNull(raw) {
		return nil
	}
	if raw[0] != '[' {
		return errors.New("choices are not an array")
	}
	x.any = len(bytes.TrimSpace(raw[1:len(raw)-1])) > 0
	return nil
}

// attempt sends the request to one backend server and relays the response.
func (m *modelCall) attempt(ctx context.Context, a masticcall.Assignment) *masticengine.Failure {
	m.server, m.serverOwner, m.cachedTokens = a.Server().Name, a.Server().Owner, a.CachedTokens()
	m.inbound.waitForAnswer(m.server)
	before := m.outputTokens()
	incarnation, f := m.exchange(ctx, a)
	r := masticcall.Result{
		ServerIncarnation: incarnation,
		CachedTokens:      m.usage.cached(),
		OutputTokens:      m.outputTokens() - before,
	}
	if f != nil {
		m.sent = m.sent || f.Sent
		r.Failure, r.ServerEnded, r.Paused, r.ServerIncarnation = string(f.Err.Kind()), f.ServerEnded, f.Paused, f.Incarnation
	}
	a.Done(m.inbound.gate.now(), r)
	m.countRecomputed(f)
	return f
}

// countRecomputed counts the prompt tokens that were computed although they were believed to be
// cached, or that are computed again because an attempt failed.
func (m *modelCall) countRecomputed(f *masticengine.Failure) {
	switch {
	case f != nil && f.Sent:
		m.recomputedTokens += m.prompt.promptTokens
	case f == nil:
		m.recomputedTokens += max(0, m.cachedTokens-m.usage.cached())
	}
}

func (m *modelCall) exchange(ctx context.Context, a masticcall.Assignment) (string, *masticengine.Failure) {
	if m.prompt.stream {
		return m.exchangeStream(ctx, a)
	}
	return m.exchangeBody(ctx, a)
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
		Content:    m.prompt.content,
		Held:       m.held,
		BeforeSend: m.beforeSend,
		Check:      m.inbound.gate.accessCheck(m.inbound.identity, m.prompt.allowedBy),
		BeforeWait: m.flushPending,
	}
}

func (m *modelCall) exchangeBody(ctx context.Context, a masticcall.Assignment) (string, *masticengine.Failure) {
	answer, err := m.inbound.gate.engine.Do(ctx, m.call(a))
	if err != nil {
		return "", m.keepFailure(err)
	}
	m.inbound.keep(answer, nil)
	m.sent = true
	a.FirstToken(m.inbound.gate.now())
	m.readUsage(answer.Body)
	m.relayBody(answer)
	return answer.Incarnation, nil
}

// keepFailure returns the failure of a call, whose answer is kept.
func (m *modelCall) keepFailure(err error) *masticengine.Failure {
	f := failureOf(err)
	m.inbound.keep(masticengine.Answer{}, f)
	return f
}

func (m *modelCall) relayBody(a masticengine.Answer) {
	for name, values := range a.Header {
		m.inbound.writer.Header()[name] = values
	}
	m.inbound.answerJSON(a.Status, a.Body)
}

func (m *modelCall) exchangeStream(ctx context.Context, a masticcall.Assignment) (string, *masticengine.Failure) {
	s, err := m.inbound.gate.engine.Stream(ctx, m.call(a))
	if err != nil {
		return "", m.keepFailure(err)
	}
	defer s.Close()
	m.sent = true
	for first := true; ; first = false {
		e, err := s.Next()
		m.sequence = s.Sequence()
		if err != nil {
			_ = m.flushPending()
			return "", failureOf(err)
		}
		if first {
			a.FirstToken(m.inbound.gate.now())
		}
		m.request.Software = masticcall.OnlySoftware(a.Server().Software)
		if e := m.relayEvent(e); e != nil {
			return "", &masticengine.Failure{Err: e, Sent: true, Incarnation: s.Incarnation()}
		}
		if e.IsEnd() {
			_ = m.flushPending()
			return s.Incarnation(), nil
		}
	}
}

// relayEvent writes one event for the caller. It is flushed before the stream waits for more.
func (m *modelCall) relayEvent(e masticstream.Event) *masticerror.Error {
	q := m.inbound
	if !q.answered {
		h := q.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		q.writeStatus(http.StatusOK)
	}
	if !m.isForCaller(e) {
		return nil
	}
	m.buffer = masticstream.AppendEvent(m.buffer[:0], q.id, m.forwarded, e.Data)
	m.forwarded++
	m.unflushed = true
	if q.write(m.buffer) != nil {
		return errCallerGone()
	}
	return nil
}

// flushPending flushes what was written since the last flush.
func (m *modelCall) flushPending() error {
	if !m.unflushed {
		return nil
	}
	m.unflushed = false
	if m.inbound.flush() != nil {
		return errCallerGone()
	}
	return nil
}

func errCallerGone() *masticerror.Error {
	return masticerror.New(masticerror.KindCancelled, "the caller took no more of the answer")
}

// isForCaller counts the event and reports whether it is relayed: a usage event that the caller
// did not request is not.
func (m *modelCall) isForCaller(e masticstream.Event) bool {
	if e.IsEnd() {
		return true
	}
	if bytes.Contains(e.Data, []byte(`"usage":{`)) {
		if usageOnly := m.readUsage(e.Data); usageOnly {
			return m.prompt.wantsUsage
		}
	}
	m.streamedTokens++
	return true
}

// readUsage stores the usage in data, if any, and reports whether data carries nothing else.
func (m *modelCall) readUsage(data []byte) bool {
	var h usageEnvelope
	if json.Unmarshal(data, &h) != nil || h.Usage == nil {
		return false
	}
	m.usage = *h.Usage
	return !h.Choices.any
}

// errorEvent ends a stream that cannot be completed with an error event. No end mark follows it.
func (m *modelCall) errorEvent(e *masticerror.Error) {
	q := m.inbound
	m.buffer = append(m.buffer[:0], "event: error\ndata: "...)
	m.buffer = append(m.buffer, q.errorBody(e)...)
	m.buffer = append(m.buffer, "\n\n"...)
	if q.write(m.buffer) == nil {
		_ = q.flush()
	}
}

// failureOf returns err as a failure. An unknown error counts as sent, because the request may
// have reached the backend server.
func failureOf(err error) *masticengine.Failure {
	var f *masticengine.Failure
	if errors.As(err, &f) {
		return f
	}
	return &masticengine.Failure{Err: masticerror.From(err), Sent: true}
}
