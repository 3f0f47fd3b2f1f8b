package masticcourse

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
	"masticladder/masticerror"
)

// relayBuffer is the piece in which answers are passed on.
const relayBuffer = 8 << 10

var relayBuffers = sync.Pool{New: func() any { return new([relayBuffer]byte) }}

// relay passes the answer on.
func (r *run) relay(a masticcall.Assignment, answer *masticbackend.Answer) *masticbackend.Failure {
	c := r.course
	if c.backends.NotRun(answer.Status, answer.Header) {
		drain(answer)
		return &masticbackend.Failure{Err: masticerror.New(masticerror.KindBackendRefused, "%s answered %d: not run", r.server, answer.Status), Ended: c.backends.Replaced(answer.Status)}
	}
	if !c.backends.Proper(answer.Status, answer.Header) {
		return failed("%s gave an improper answer with status %d", r.server, answer.Status)
	}
	if answer.Status >= http.StatusInternalServerError && r.mayFailOver() {
		drain(answer)
		return failed("%s answered %d", r.server, answer.Status)
	}
	if r.begun && (answer.Status != http.StatusOK || !isStream(answer.Header)) {
		return failed("%s did not resume the stream: status %d", r.server, answer.Status)
	}
	r.status = answer.Status
	if isStream(answer.Header) && answer.Status == http.StatusOK {
		return r.relayStream(a, answer)
	}
	return r.relayWhole(a, answer)
}

// mayFailOver reports whether another backend server may be asked after a failure that
// was answered.
func (r *run) mayFailOver() bool {
	return r.route.Repeat == masticdocument.RepeatSafe && r.attempts+1 < r.route.Attempts && time.Until(r.deadline) > leastTime
}

func failed(format string, args ...any) *masticbackend.Failure {
	return &masticbackend.Failure{Err: masticerror.New(masticerror.KindBackendFailed, format, args...), Sent: true}
}

// drain reads a small rest, so that the connection can be used again.
func drain(answer *masticbackend.Answer) {
	_, _ = io.CopyN(io.Discard, answer, relayBuffer)
}

func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// connectionFields concern one connection only.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// begin passes the head of the answer on.
func (r *run) begin(answer *masticbackend.Answer) {
	h := r.writer.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	for _, name := range connectionFields {
		h.Del(name)
	}
	if answer.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	r.writer.WriteHeader(answer.Status)
	r.begun = true
	r.firstAt = time.Now()
}

// relayWhole passes an answer on that ends by itself.
func (r *run) relayWhole(a masticcall.Assignment, answer *masticbackend.Answer) *masticbackend.Failure {
	buffer := relayBuffers.Get().(*[relayBuffer]byte)
	defer relayBuffers.Put(buffer)
	n, err := readPart(answer, buffer[:])
	if err != nil && err != io.EOF {
		return brokenOff(err, r.server)
	}
	a.FirstToken(time.Now())
	r.begin(answer)
	for {
		if _, err := r.writer.Write(buffer[:n]); err != nil {
			return callerGone(err)
		}
		if err == io.EOF {
			return nil
		}
		n, err = readPart(answer, buffer[:])
		if err != nil && err != io.EOF {
			return brokenOff(err, r.server)
		}
	}
}

// readPart fills p as far as the answer goes. It returns io.EOF with the last part.
func readPart(answer *masticbackend.Answer, p []byte) (int, error) {
	n, err := io.ReadFull(answer, p)
	if errors.Is(err, io.ErrUnexpectedEOF) && answer.Whole() {
		err = io.EOF
	}
	return n, err
}

// relayStream passes whole events on as they come.
func (r *run) relayStream(a masticcall.Assignment, answer *masticbackend.Answer) *masticbackend.Failure {
	buffer := relayBuffers.Get().(*[relayBuffer]byte)
	defer relayBuffers.Put(buffer)
	r.events.cut()
	first := true
	for {
		n, err := answer.Read(buffer[:])
		if n > 0 {
			if first {
				first = false
				a.FirstToken(time.Now())
			}
			if f := r.pass(answer, buffer[:n]); f != nil {
				return f
			}
		}
		switch {
		case err == io.EOF && r.events.whole():
			if !r.begun {
				r.begin(answer)
			}
			return nil
		case err == io.EOF:
			return brokenOff(io.ErrUnexpectedEOF, r.server)
		case err != nil:
			return brokenOff(err, r.server)
		}
	}
}

// pass passes the whole events on that p completes.
func (r *run) pass(answer *masticbackend.Answer, p []byte) *masticbackend.Failure {
	whole, fits := r.events.take(p)
	if !fits {
		return failed("an event of %s is over %d bytes", r.server, maxEventBytes)
	}
	if len(whole) == 0 {
		return nil
	}
	if !r.begun {
		r.begin(answer)
	}
	if _, err := r.writer.Write(whole); err != nil {
		return callerGone(err)
	}
	r.events.drop(len(whole))
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		return callerGone(err)
	}
	return nil
}

// brokenOff returns the failure of an answer that was not read to its end. Where the caller
// or the time ended it, that says nothing of the server.
func brokenOff(err error, server string) *masticbackend.Failure {
	switch {
	case errors.Is(err, context.Canceled):
		return callerGone(err)
	case errors.Is(err, context.DeadlineExceeded):
		return &masticbackend.Failure{Err: masticerror.Wrap(err, masticerror.KindDeadline, "the deadline passed in the answer of %s", server), Sent: true}
	}
	return &masticbackend.Failure{
		Err:  masticerror.Wrap(err, masticerror.KindStreamBroken, "the answer of %s broke off", server),
		Sent: true, Ended: true,
	}
}

func callerGone(err error) *masticbackend.Failure {
	return &masticbackend.Failure{Err: masticerror.Wrap(err, masticerror.KindCancelled, "the caller took no more of the answer"), Sent: true}
}
