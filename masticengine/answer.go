package masticengine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"masticladder/masticerror"
)

// Answer is a whole answer that was not streamed.
type Answer struct {
	Status int
	// Header is cut down to what a caller may get.
	Header      http.Header
	Body        []byte
	Incarnation string
}

// Do sends call and returns the whole answer, or a *Failure.
// An engine's refusal is a failure; a service's answer of any status is an answer.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	x, f := c.begin(ctx, call, millis(c.limits.WholeAnswerMillis))
	if f != nil {
		return Answer{}, f
	}
	defer x.close()
	if x.isEngine() && isRefusal(x.answer.StatusCode) {
		return Answer{}, x.refused()
	}
	a, f := x.whole()
	if f != nil {
		return Answer{}, f
	}
	if x.isEngine() && a.Status != http.StatusOK {
		return Answer{}, rejected(a)
	}
	return a, nil
}

// isRefusal reports whether an engine's status says that another engine may answer.
// The others than 200 are verdicts on the request's content.
func isRefusal(status int) bool {
	switch status {
	case http.StatusOK, http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return false
	default:
		return true
	}
}

func (x *exchange) refused() *Failure {
	x.trace.stop()
	e := masticerror.New(masticerror.KindBackendRefused, "the backend server answered %d", x.answer.StatusCode)
	return &Failure{Err: e.WithSent(), Sent: true, Incarnation: x.running.incarnation}
}

func rejected(a Answer) *Failure {
	e := masticerror.New(masticerror.KindBackendRefused, "the backend server answered %d", a.Status)
	return &Failure{Err: e.WithSent(), Sent: true, Incarnation: a.Incarnation, Rejected: &a}
}

// whole reads the answer to its end and refuses one that was cut.
func (x *exchange) whole() (Answer, *Failure) {
	if !statesItsEnd(x.answer) {
		return Answer{}, x.fail(errUnbounded)
	}
	limit := x.client.limits.MaxAnswerBytes
	body, err := io.ReadAll(io.LimitReader(x.answer.Body, limit+1))
	if err != nil {
		x.countCut(err)
		return Answer{}, x.fail(err)
	}
	if int64(len(body)) > limit {
		return Answer{}, x.fail(errTooLarge)
	}
	if x.isEngine() && x.answer.StatusCode == http.StatusOK && !json.Valid(body) {
		x.client.counters.Cut.Add(1)
		return Answer{}, x.fail(errCut)
	}
	return Answer{
		Status:      x.answer.StatusCode,
		Header:      allowed(x.answer.Header, answered),
		Body:        body,
		Incarnation: x.running.incarnation,
	}, nil
}

// statesItsEnd reports whether a cut of the answer would be noticed.
func statesItsEnd(a *http.Response) bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0
}

func (x *exchange) countCut(err error) {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		x.client.counters.Cut.Add(1)
	}
}
