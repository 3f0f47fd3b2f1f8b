package masticrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"masticladder/masticbackend"
	"masticladder/masticcall"
	"masticladder/masticdocument"
	"masticladder/masticdrain"
	"masticladder/masticerror"
)

// relayBufferBytes is the size of the chunks in which responses are relayed.
const relayBufferBytes = 8 << 10

var relayBuffers = sync.Pool{New: func() any { return new([relayBufferBytes]byte) }}

// relayResponse relays the response to the caller. It returns a failure, without relaying, for: a response
// that states that the request has not run, an invalid response, a server error after which
// another server may be tried, and a response that does not resume the broken stream.
func (r *requestState) relayResponse(ctx context.Context, a masticcall.Assignment, answer *masticbackend.Answer) *masticbackend.Failure {
	c := r.relay
	if c.backends.NotRun(answer.Status, answer.Header) {
		drainBody(answer)
		if c.backends.Replaced(answer.Status) {
			return &masticbackend.Failure{
				Err:         masticerror.New(masticerror.KindBackendRefused, "%s answered %d: not run", r.server, answer.Status),
				ServerEnded: true,
			}
		}
		return &masticbackend.Failure{
			Err:      masticerror.New(masticerror.KindBackendBusy, "%s answered %d: not run", r.server, answer.Status),
			Answered: true,
		}
	}
	if !c.backends.Valid(answer.Status, answer.Header) {
		return backendFailure("%s gave an improper answer with status %d", r.server, answer.Status)
	}
	if answer.Status >= http.StatusInternalServerError && r.mayFailOver() {
		drainBody(answer)
		return answeredFailure("%s answered %d", r.server, answer.Status)
	}
	if r.headerWritten && (answer.Status != http.StatusOK || !isStream(answer.Header)) {
		return answeredFailure("%s did not resume the stream: status %d", r.server, answer.Status)
	}
	r.status = answer.Status
	if isStream(answer.Header) && answer.Status == http.StatusOK {
		return r.relayStream(ctx, a, answer)
	}
	return r.relayBody(a, answer)
}

// mayFailOver reports whether the request may be sent to another backend server after one
// responded with a server error.
func (r *requestState) mayFailOver() bool {
	return r.route.Repeat == masticdocument.RetryIdempotent && r.possibleRuns+1 < r.route.Attempts && time.Until(r.deadline) > minRemainingTime
}

// backendFailure returns the failure of an attempt that the backend server may have run.
func backendFailure(format string, args ...any) *masticbackend.Failure {
	return &masticbackend.Failure{Err: masticerror.New(masticerror.KindBackendFailed, format, args...), Sent: true}
}

// answeredFailure is backendFailure for a proper answer.
func answeredFailure(format string, args ...any) *masticbackend.Failure {
	f := backendFailure(format, args...)
	f.Answered = true
	return f
}

// drainBody reads what is left of a small body, so that the connection can be reused.
func drainBody(answer *masticbackend.Answer) {
	_, _ = io.CopyN(io.Discard, answer, relayBufferBytes)
}

func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// hopByHopFields are the header fields that apply to one connection only.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// begin relays the status and header of the response. It fails if the host has ended the attempt, unless the response is
// complete.
func (r *requestState) begin(answer *masticbackend.Answer, complete bool) *masticbackend.Failure {
	if !r.untilEnd.Keep() && !complete {
		return &masticbackend.Failure{Err: r.relay.endingError(), Sent: true, Answered: true}
	}
	r.writeHeader(answer)
	return nil
}

func (r *requestState) writeHeader(answer *masticbackend.Answer) {
	h := r.writer.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	for _, name := range hopByHopFields {
		h.Del(name)
	}
	if answer.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	r.relay.announceClose(h)
	r.writer.WriteHeader(answer.Status)
	r.headerWritten = true
	r.firstByteAt = time.Now()
	r.call.Running.Set(r.call.Running.Progress().WithStage(masticdrain.StageStream))
}

// relayBody relays a response that is not an event stream. The header is written only once the
// first chunk has been read.
func (r *requestState) relayBody(a masticcall.Assignment, answer *masticbackend.Answer) *masticbackend.Failure {
	buffer := relayBuffers.Get().(*[relayBufferBytes]byte)
	defer relayBuffers.Put(buffer)
	n, err := readChunk(answer, buffer[:])
	if err != nil && err != io.EOF {
		return readFailure(err, r.server)
	}
	a.FirstToken(time.Now())
	if f := r.begin(answer, err == io.EOF); f != nil {
		return f
	}
	for {
		if _, err := r.writer.Write(buffer[:n]); err != nil {
			return callerGone(err)
		}
		if err == io.EOF {
			return nil
		}
		n, err = readChunk(answer, buffer[:])
		if err != nil && err != io.EOF {
			return readFailure(err, r.server)
		}
	}
}

// readChunk reads until p is full or the response ends. It returns io.EOF with the last chunk
// of a complete response.
func readChunk(answer *masticbackend.Answer, p []byte) (int, error) {
	n, err := io.ReadFull(answer, p)
	if errors.Is(err, io.ErrUnexpectedEOF) && answer.Complete() {
		err = io.EOF
	}
	return n, err
}

// resumedFrom returns the identifier of the event after which the attempt has to go on, empty if it need not: a caller may
// name an event on a route whose servers do not resume streams.
func (r *requestState) resumedFrom() string {
	if r.events.count == 0 && !r.route.Resumable {
		return ""
	}
	return r.lastEventID()
}

// relayStream relays complete events as they arrive.
func (r *requestState) relayStream(ctx context.Context, a masticcall.Assignment, answer *masticbackend.Answer) *masticbackend.Failure {
	buffer := relayBuffers.Get().(*[relayBufferBytes]byte)
	defer relayBuffers.Put(buffer)
	r.events.resume(r.resumedFrom())
	first, resumed, before := true, r.headerWritten, r.events.count
	for {
		n, err := answer.Read(buffer[:])
		if n > 0 {
			if first {
				first = false
				a.FirstToken(time.Now())
				if f := r.confirmOrigin(ctx, a.Server(), answer); f != nil {
					return f
				}
			}
			if f := r.relayEvents(answer, buffer[:n]); f != nil {
				return f
			}
		}
		switch {
		case err == io.EOF && resumed && r.events.count == before:
			// It cannot be told from the answer of a server that did not resume the stream.
			return answeredFailure("%s did not resume the stream: no event", r.server)
		case err == io.EOF && r.events.empty():
			if !r.headerWritten {
				return r.begin(answer, true)
			}
			return nil
		case err == io.EOF:
			return readFailure(io.ErrUnexpectedEOF, r.server)
		case err != nil:
			return readFailure(err, r.server)
		}
	}
}

// relayEvents relays the events that p completes.
func (r *requestState) relayEvents(answer *masticbackend.Answer, p []byte) *masticbackend.Failure {
	whole, err := r.events.add(p)
	if len(whole) > 0 {
		if f := r.writeEvents(answer, whole); f != nil {
			return f
		}
	}
	switch err {
	case nil:
		return nil
	case errEventOrder:
		return answeredFailure("an event of %s does not follow event %s", r.server, r.lastEventID())
	case errEventMemory:
		return answeredFailure("an event of %s: %v", r.server, err)
	default:
		return backendFailure("an event of %s is over %d bytes", r.server, maxEventBytes)
	}
}

// writeEvents writes complete events to the caller.
func (r *requestState) writeEvents(answer *masticbackend.Answer, whole []byte) *masticbackend.Failure {
	r.bindOrigin()
	if !r.headerWritten {
		if f := r.begin(answer, false); f != nil {
			return f
		}
	}
	if _, err := r.writer.Write(whole); err != nil {
		return callerGone(err)
	}
	r.events.discard(len(whole))
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		return callerGone(err)
	}
	return nil
}

// readFailure returns the failure of a response that could not be read to its end. If the caller
// cancelled or the deadline passed, the failure does not count as an end of the server.
func readFailure(err error, server string) *masticbackend.Failure {
	switch {
	case errors.Is(err, context.Canceled):
		return callerGone(err)
	case errors.Is(err, context.DeadlineExceeded):
		return &masticbackend.Failure{Err: masticerror.Wrap(err, masticerror.KindDeadline, "the deadline passed in the answer of %s", server), Sent: true}
	}
	return &masticbackend.Failure{
		Err:  masticerror.Wrap(err, masticerror.KindStreamBroken, "the answer of %s broke off", server),
		Sent: true, ServerEnded: true,
	}
}

func callerGone(err error) *masticbackend.Failure {
	return &masticbackend.Failure{Err: masticerror.Wrap(err, masticerror.KindCancelled, "the caller took no more of the answer"), Sent: true}
}
