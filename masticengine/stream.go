package masticengine

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"masticladder/masticbody"
	"masticladder/masticstream"
)

// drainTimeout is the timeout for the end of the HTTP body after the stream's end mark.
const drainTimeout = 100 * time.Millisecond

// Stream is a streamed answer. It uses one decoder buffer of limited size and reads from the
// server only as fast as its caller calls Next. It is not safe for concurrent use.
type Stream struct {
	exchange *exchange
	decoder  *masticstream.Decoder
	// memory is that of the decoder's buffer.
	memory       *masticbody.Reservation
	sequence     masticstream.Sequence
	eventTimeout time.Duration
	// waiting is set from the first read for an event until that event is delivered.
	waiting bool
}

// Stream sends call and returns its streamed answer, or a *Failure.
func (c *Client) Stream(ctx context.Context, call Call) (*Stream, error) {
	x, f := c.begin(ctx, call, millis(c.limits.FirstEventTimeoutMillis))
	if f != nil {
		return nil, f
	}
	if f := x.checkStream(); f != nil {
		x.close()
		return nil, f
	}
	return &Stream{
		exchange:     x,
		decoder:      masticstream.NewDecoder(c.limits.MaxEventBytes),
		memory:       c.answers.Reserve(),
		sequence:     call.Sequence,
		eventTimeout: millis(c.limits.NextEventTimeoutMillis),
		waiting:      true,
	}, nil
}

func (x *exchange) checkStream() *Failure {
	switch status := x.answer.StatusCode; {
	case isRefusal(status):
		return x.refusedFailure()
	case status != http.StatusOK:
		a, f := x.readAll()
		if f != nil {
			return f
		}
		return rejectedFailure(a)
	}
	media, _, _ := mime.ParseMediaType(x.answer.Header.Get("Content-Type"))
	if media != "text/event-stream" {
		return x.fail(errUnframed)
	}
	return nil
}

// Incarnation returns the server's incarnation.
func (s *Stream) Incarnation() string { return s.exchange.running.incarnation }

// Sequence returns the progress of the answer, from which the next attempt resumes.
func (s *Stream) Sequence() masticstream.Sequence { return s.sequence }

// Next returns the next event in order, the end mark last, or a *Failure. The event's data is
// valid until the next call of Next.
func (s *Stream) Next() (masticstream.Event, error) {
	for {
		e, ok, err := s.decoder.Next()
		if err != nil {
			return e, s.exchange.fail(errTooLarge)
		}
		if !ok {
			if f := s.read(); f != nil {
				return e, f
			}
			continue
		}
		deliver, f := s.accept(e)
		if f != nil {
			return e, f
		}
		if deliver {
			return e, nil
		}
	}
}

func (s *Stream) accept(e masticstream.Event) (bool, *Failure) {
	next, verdict := s.sequence.Accept(e)
	counters := &s.exchange.client.counters
	switch verdict {
	case masticstream.VerdictDuplicate, masticstream.VerdictAfterEnd:
		counters.Duplicates.Add(1)
		return false, nil
	case masticstream.VerdictGap:
		counters.Gaps.Add(1)
		return false, s.exchange.fail(errGap)
	case masticstream.VerdictWrongRequest:
		counters.WrongRequest.Add(1)
		return false, s.exchange.fail(errWrongRequest)
	}
	s.sequence = next
	if next.Ended() {
		s.exchange.running.attempt.Completed(true)
	}
	s.waiting = false
	s.exchange.watch.suspend()
	return true, nil
}

func (s *Stream) read() *Failure {
	if f := s.exchange.beforeWait(); f != nil {
		return f
	}
	if !s.waiting {
		s.waiting = true
		s.exchange.watch.extend(s.eventTimeout)
	}
	space := s.decoder.Space()
	if !s.memory.Resize(int64(s.decoder.Size())) {
		return s.exchange.fail(errMemory)
	}
	n, err := s.exchange.answer.Body.Read(space)
	s.decoder.Advance(n)
	if n > 0 || err == nil {
		return nil
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		s.exchange.client.counters.Truncated.Add(1)
		err = errTruncated
	}
	return s.exchange.fail(err)
}

// Close ends the call. An incomplete stream is cancelled on the server. The connection of a
// complete stream is reused, for which the end of its body is read.
func (s *Stream) Close() {
	s.memory.Release()
	if s.sequence.Ended() {
		s.exchange.watch.extend(drainTimeout)
		_, _ = io.CopyN(io.Discard, s.exchange.answer.Body, 1)
	}
	s.exchange.close()
}
