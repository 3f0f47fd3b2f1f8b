package masticgate

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"masticladder/masticcall"
	"masticladder/masticerror"
)

// ErrorBody is the JSON body of an error response and of an error event.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and what is known of the outcome of the request.
type ErrorDetail struct {
	Message string           `json:"message"`
	Type    string           `json:"type"`
	Kind    masticerror.Kind `json:"kind"`
	// NotRun is true only when no byte of the request reached a backend server and none can later.
	NotRun         bool `json:"notRun"`
	OutcomeUnknown bool `json:"outcomeUnknown"`
	// Addresses are other hosts to use if this one cannot serve.
	Addresses []masticcall.Address `json:"addresses,omitempty"`
}

// errorType returns the error type that clients of the OpenAI-compatible API expect for a status.
func errorType(status int) string {
	switch status {
	case http.StatusUnauthorized:
		return "authentication_error"
	case http.StatusForbidden:
		return "permission_error"
	case http.StatusTooManyRequests:
		return "rate_limit_error"
	}
	if status >= http.StatusInternalServerError {
		return "server_error"
	}
	return "invalid_request_error"
}

func (q *inbound) errorBody(e *masticerror.Error) []byte {
	d := ErrorDetail{
		Message:        e.Message(),
		Type:           errorType(e.Status()),
		Kind:           e.Kind(),
		NotRun:         e.NotRun(),
		OutcomeUnknown: !e.NotRun(),
	}
	if k := e.Kind(); k == masticerror.KindNoLease || k == masticerror.KindDraining {
		d.Addresses, _ = q.gate.addresses.For(q.identity.profile.Workspace, q.gate.now())
	}
	b, _ := json.Marshal(ErrorBody{Error: d})
	return b
}

// refuse responds with e, counts it and logs it.
func (q *inbound) refuse(e *masticerror.Error) {
	if q.mayHaveRunBefore() {
		e = e.WithSent()
	}
	q.countRefusal(e)
	q.answerError(e)
	q.logOutcome(e, "")
}

// mayHaveRunBefore reports whether the request may be an order with an idempotency key that is
// refused before the ledger was consulted. An earlier send of it may have run, so the refusal must
// not state that it has not run.
func (q *inbound) mayHaveRunBefore() bool {
	name := q.request.PathValue("name")
	if name == "" || q.request.Header.Get(HeaderIdempotencyKey) == "" {
		return false
	}
	s, ok := q.gate.views.View().Service(name)
	return !ok || !s.Idempotent
}

func (q *inbound) answerError(e *masticerror.Error) {
	if d := e.RetryAfter(); d > 0 {
		q.writer.Header().Set("Retry-After", retrySeconds(d))
	}
	q.answerJSON(e.Status(), q.errorBody(e))
}

func retrySeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func (q *inbound) answerJSON(code int, body []byte) {
	h := q.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.writeStatus(code)
	_ = q.write(body)
}

func (q *inbound) countRefusal(e *masticerror.Error) {
	q.gate.usage.Add(masticcall.UsageRecord{
		Workspace: q.identity.profile.Workspace,
		Profile:   q.identity.profile.Name,
		Model:     q.model,
		Order:     q.service != "",
		Refusal:   string(e.Kind()),
	})
}

// logOutcome logs the outcome of the request, in one line. It names only configured items:
// nothing that a caller sent is logged.
func (q *inbound) logOutcome(e *masticerror.Error, server string) {
	f := logrus.Fields{
		"request":   q.id,
		"workspace": q.identity.profile.Workspace,
		"profile":   q.identity.profile.Name,
		"millis":    q.gate.now().Sub(q.started).Milliseconds(),
	}
	addField(f, "model", q.model)
	addField(f, "service", q.service)
	addField(f, "server", server)
	if e == nil {
		q.gate.log.WithFields(f).Info("request served")
		return
	}
	f["kind"] = e.Kind()
	f["notRun"] = e.NotRun()
	f["reason"] = e.Message()
	q.gate.log.WithFields(f).Info("request refused")
}

func addField(f logrus.Fields, name, value string) {
	if value != "" {
		f[name] = value
	}
}
