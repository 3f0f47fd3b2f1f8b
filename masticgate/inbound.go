package masticgate

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"masticladder/masticbody"
	"masticladder/masticcaller"
	"masticladder/masticdrain"
	"masticladder/masticengine"
	"masticladder/masticerror"
)

// Headers of the protocol with callers.
const (
	// HeaderRequestID carries the request's identifier in every response.
	HeaderRequestID = "Mastic-Request-Id"
	// HeaderProfile names the profile to run under.
	HeaderProfile = "Mastic-Profile"
	// HeaderTimeout states the caller's timeout in milliseconds, counted from the receipt of the
	// request.
	HeaderTimeout = "Mastic-Timeout-Millis"
	// HeaderIdempotencyKey identifies a call that may not be repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplay marks a response that is replayed from the ledger.
	HeaderReplay = "Idempotent-Replay"
	// HeaderTruncated marks a replayed response whose body exceeded the ledger's limit.
	HeaderTruncated = "Mastic-Answer-Truncated"
)

const (
	requestIDBytes = 16
	// writeChunkBytes is the most that a caller has to read within one write timeout.
	writeChunkBytes = 64 << 10
)

// inbound is one request of a caller and the writer of its response.
type inbound struct {
	gate               *Gate
	id                 string
	request            *http.Request
	writer             http.ResponseWriter
	responseController *http.ResponseController
	// connection is that of the caller, nil if its state is unknown.
	connection *masticcaller.Connection
	identity   identity
	// body is nil before the body is read.
	body *masticbody.Reader
	// answers are the answers of backend servers, which finish releases.
	answers []masticengine.Answer
	// service and model are set once they are known to be configured names.
	service string
	model   string
	// started is when the request's bytes arrived. The caller's deadline counts from then.
	started time.Time
	// running is nil for requests that a drain does not wait for.
	running *masticdrain.Request
	// answered is set once the status was written.
	answered bool
}

func (g *Gate) newInbound(w http.ResponseWriter, r *http.Request) *inbound {
	connection := masticcaller.FromContext(r.Context())
	q := &inbound{
		gate:               g,
		id:                 newRequestID(),
		request:            r,
		writer:             w,
		responseController: http.NewResponseController(w),
		connection:         connection,
		started:            g.now().Add(-connection.SinceData()),
	}
	w.Header().Set(HeaderRequestID, q.id)
	if g.drain.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	return q
}

func newRequestID() string {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// readBody reads the body, up to the size limit and within the body timeout.
func (q *inbound) readBody() ([]byte, *masticerror.Error) {
	limit := q.gate.limits.MaxBodyBytes
	if q.request.ContentLength > limit {
		return nil, q.tooLarge()
	}
	q.body = q.gate.bodyBudget.Reader(http.MaxBytesReader(q.writer, q.request.Body, limit))
	body, err := q.body.ReadAll(q.request.ContentLength, 0)
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		return nil, q.tooLarge()
	case errors.Is(err, masticbody.ErrBudget):
		q.writer.Header().Set("Connection", "close")
		return nil, masticerror.New(masticerror.KindOverloaded, "this host holds as many request bodies as it may")
	}
	if err != nil {
		q.writer.Header().Set("Connection", "close")
		return nil, masticerror.New(masticerror.KindBadRequest, "the body could not be read to its end")
	}
	_ = q.responseController.SetReadDeadline(time.Time{})
	return body, nil
}

// setBodyDeadline sets the deadline for reading the body. It stays set if the body is not
// needed, because net/http still reads a part of it after the response.
func (q *inbound) setBodyDeadline() {
	_ = q.responseController.SetReadDeadline(time.Now().Add(millis(q.gate.limits.BodyMillis)))
}

func (q *inbound) tooLarge() *masticerror.Error {
	q.writer.Header().Set("Connection", "close")
	return masticerror.New(masticerror.KindBodyTooLarge, "the body is over %d bytes", q.gate.limits.MaxBodyBytes)
}

// writeStatus writes the status line and header, once.
func (q *inbound) writeStatus(code int) {
	if q.answered {
		return
	}
	q.answered = true
	q.setStage(masticdrain.StageStream)
	q.extendWriteDeadline()
	q.writer.WriteHeader(code)
}

// write writes b in chunks; the caller has to read each within the write timeout.
func (q *inbound) write(b []byte) error {
	for len(b) > 0 {
		n := min(len(b), writeChunkBytes)
		q.extendWriteDeadline()
		if _, err := q.writer.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func (q *inbound) flush() error {
	q.extendWriteDeadline()
	return q.responseController.Flush()
}

func (q *inbound) extendWriteDeadline() {
	_ = q.responseController.SetWriteDeadline(time.Now().Add(millis(q.gate.limits.CallerWriteMillis)))
}

// setStage records what the request waits for, until the next stage.
func (q *inbound) setStage(s masticdrain.Stage) {
	if q.running != nil {
		q.running.Set(q.running.Progress().WithStage(s))
	}
}

// waitForAnswer records that the request waits for the answer of a backend server.
func (q *inbound) waitForAnswer(server string) {
	if q.running != nil && !q.answered {
		q.running.Set(q.running.Progress().WithServer(masticdrain.StageAnswer, server))
	}
}

// admit records the model or service of the request, and its deadline.
func (q *inbound) admit(name string, deadline time.Time) {
	if q.running != nil {
		q.running.Set(q.running.Progress().WithRoute(name, deadline).WithStage(masticdrain.StageAdmit))
	}
}

// keep keeps an answer, and the one of a failure, until the response is complete.
func (q *inbound) keep(a masticengine.Answer, f *masticengine.Failure) {
	q.answers = append(q.answers, a)
	if f != nil && f.Rejected != nil {
		q.answers = append(q.answers, *f.Rejected)
	}
}

// finish flushes the response and prepares the connection for its next request.
func (q *inbound) finish() {
	if q.body != nil {
		q.body.Release()
	}
	for _, a := range q.answers {
		a.Release()
	}
	if q.answered {
		_ = q.flush()
	}
	_ = q.responseController.SetWriteDeadline(time.Time{})
}
