package masticgate

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"time"

	"masticladder/masticerror"
)

// Headers of the protocol with callers.
const (
	// HeaderRequestID carries the request's identifier in every answer.
	HeaderRequestID = "Mastic-Request-Id"
	// HeaderProfile names the profile to run under.
	HeaderProfile = "Mastic-Profile"
	// HeaderTimeout states the caller's deadline, in milliseconds from now.
	HeaderTimeout = "Mastic-Timeout-Millis"
	// HeaderIdempotencyKey names a call that may not be repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplay marks an answer that was recorded earlier.
	HeaderReplay = "Idempotent-Replay"
	// HeaderTruncated marks a recorded answer whose body was over the ledger's bound.
	HeaderTruncated = "Mastic-Answer-Truncated"
)

const (
	requestIDBytes = 16
	// writePieceBytes is the most that a caller has to take within one write bound.
	writePieceBytes = 64 << 10
)

// inbound is one request of a caller and the way to answer it.
type inbound struct {
	gate     *Gate
	id       string
	request  *http.Request
	writer   http.ResponseWriter
	control  *http.ResponseController
	identity identity
	body     budgetReader
	// service and model are set once they are known to be configured names.
	service string
	model   string
	started time.Time
	// answered is set when the status was written.
	answered bool
}

func (g *Gate) newInbound(w http.ResponseWriter, r *http.Request) *inbound {
	q := &inbound{
		gate:    g,
		id:      newRequestID(),
		request: r,
		writer:  w,
		control: http.NewResponseController(w),
		started: g.now(),
		body:    budgetReader{budget: &g.bodies},
	}
	w.Header().Set(HeaderRequestID, q.id)
	if g.drain.isDraining() {
		w.Header().Set("Connection", "close")
	}
	return q
}

func newRequestID() string {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// readBody reads the body up to the limit, within the bound for slow callers.
func (q *inbound) readBody() ([]byte, *masticerror.Error) {
	limit := q.gate.limits.MaxBodyBytes
	if q.request.ContentLength > limit {
		return nil, q.tooLarge()
	}
	q.body.reader = http.MaxBytesReader(q.writer, q.request.Body, limit)
	body, err := io.ReadAll(&q.body)
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		return nil, q.tooLarge()
	case errors.Is(err, errBudget):
		q.writer.Header().Set("Connection", "close")
		return nil, masticerror.New(masticerror.KindOverloaded, "this host holds as many request bodies as it may")
	}
	if err != nil {
		q.writer.Header().Set("Connection", "close")
		return nil, masticerror.New(masticerror.KindBadRequest, "the body could not be read to its end")
	}
	_ = q.control.SetReadDeadline(time.Time{})
	return body, nil
}

// boundBody bounds the time in which the body has to come. The bound stays when
// the body is not wanted: net/http still reads a part of it after the answer.
func (q *inbound) boundBody() {
	_ = q.control.SetReadDeadline(time.Now().Add(millis(q.gate.limits.BodyMillis)))
}

func (q *inbound) tooLarge() *masticerror.Error {
	q.writer.Header().Set("Connection", "close")
	return masticerror.New(masticerror.KindBodyTooLarge, "the body is over %d bytes", q.gate.limits.MaxBodyBytes)
}

// status writes the status line and header.
func (q *inbound) status(code int) {
	if q.answered {
		return
	}
	q.answered = true
	q.extendWrite()
	q.writer.WriteHeader(code)
}

// write sends b in pieces; the caller has to take each within the write bound.
func (q *inbound) write(b []byte) error {
	for len(b) > 0 {
		n := min(len(b), writePieceBytes)
		q.extendWrite()
		if _, err := q.writer.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func (q *inbound) flush() error {
	q.extendWrite()
	return q.control.Flush()
}

func (q *inbound) extendWrite() {
	_ = q.control.SetWriteDeadline(time.Now().Add(millis(q.gate.limits.CallerWriteMillis)))
}

// finish sends what is left and readies the connection for its next request.
func (q *inbound) finish() {
	q.body.release()
	if q.answered {
		_ = q.flush()
	}
	_ = q.control.SetWriteDeadline(time.Time{})
}
