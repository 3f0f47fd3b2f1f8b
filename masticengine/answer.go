package masticengine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"masticladder/masticbody"
	"masticladder/masticerror"
)

// Answer is a complete answer that was not streamed.
type Answer struct {
	Status int
	// Header contains only the fields that a caller may receive.
	Header      http.Header
	Body        []byte
	Incarnation string
	memory      *masticbody.Reader
}

// Release returns the memory of the body to the client, which bounds that of all answers. The body must not be used
// afterwards.
func (a Answer) Release() {
	if a.memory != nil {
		a.memory.Release()
	}
}

// Do sends call and returns the complete answer, which must be released, or a *Failure. An engine's error status is a
// failure. A service's answer is returned whatever its status.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	x, f := c.begin(ctx, call, millis(c.limits.AnswerTimeoutMillis))
	if f != nil {
		return Answer{}, f
	}
	defer x.close()
	if x.isEngine() && isRefusal(x.answer.StatusCode) {
		return Answer{}, x.refusedFailure()
	}
	a, f := x.readAll()
	if f != nil {
		return Answer{}, f
	}
	x.running.attempt.Completed(a.Status == http.StatusOK)
	if x.isEngine() && a.Status != http.StatusOK {
		return Answer{}, rejectedFailure(a)
	}
	return a, nil
}

// isRefusal reports whether an engine answered with a status after which another engine may
// still answer the request. The statuses other than 200 for which it returns false reject the
// content of the request.
func isRefusal(status int) bool {
	switch status {
	case http.StatusOK, http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return false
	default:
		return true
	}
}

func (x *exchange) refusedFailure() *Failure {
	x.trace.stop()
	e := masticerror.New(masticerror.KindBackendRefused, "the backend server answered %d", x.answer.StatusCode)
	return &Failure{Err: e.WithSent(), Sent: true, Incarnation: x.running.incarnation, Paused: x.statement.Paused()}
}

func rejectedFailure(a Answer) *Failure {
	e := masticerror.New(masticerror.KindBackendRefused, "the backend server answered %d", a.Status)
	return &Failure{Err: e.WithSent(), Sent: true, Incarnation: a.Incarnation, Rejected: &a}
}

// readAll reads the complete answer. It fails if the answer is truncated or too large.
func (x *exchange) readAll() (Answer, *Failure) {
	if !isFramed(x.answer) {
		return Answer{}, x.fail(errUnframed)
	}
	memory := x.client.answers.Reader(x.answer.Body)
	body, err := memory.ReadAll(-1, x.client.limits.MaxAnswerBytes)
	if err != nil {
		memory.Release()
		x.countTruncated(err)
		return Answer{}, x.fail(sizeError(err))
	}
	if x.isEngine() && x.answer.StatusCode == http.StatusOK && !json.Valid(body) {
		memory.Release()
		x.client.counters.Truncated.Add(1)
		return Answer{}, x.fail(errTruncated)
	}
	return Answer{
		Status:      x.answer.StatusCode,
		Header:      filterHeader(x.answer.Header, returnedHeaders),
		Body:        body,
		Incarnation: x.running.incarnation,
		memory:      memory,
	}, nil
}

// sizeError returns the error of this package for a body without room, err for another one.
func sizeError(err error) error {
	switch {
	case errors.Is(err, masticbody.ErrTooLarge):
		return errTooLarge
	case errors.Is(err, masticbody.ErrBudget):
		return errMemory
	}
	return err
}

// isFramed reports whether the answer has a stated length or chunked encoding, so that a
// truncation is detected.
func isFramed(a *http.Response) bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0
}

func (x *exchange) countTruncated(err error) {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		x.client.counters.Truncated.Add(1)
	}
}
