package masticwire

import (
	"bufio"
	"context"
	"errors"
	"os"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

// Call sends q and waits for its answer until ctx ends. Error kind noQuorum means that q was not
// sent, outcomeUnknown that it may have been, and bodyTooLarge that it is over the size limit. An
// *AnswerError is the error that the other host answered.
func (c *Client) Call(ctx context.Context, q *masticproto.PeerRequest) (*masticproto.PeerAnswer, error) {
	s, err := c.Stream(ctx, q)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	answer, err := s.Next()
	freeReader(s.reader)
	return answer, err
}

// Stream sends q and returns the stream of its answers. The stream ends when ctx ends. Its error
// kinds are those of Call.
func (c *Client) Stream(ctx context.Context, q *masticproto.PeerRequest) (*Stream, error) {
	session, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	q = proto.Clone(q).(*masticproto.PeerRequest)
	deadline, bounded := ctx.Deadline()
	if bounded {
		q.TimeoutMs = max(time.Until(deadline).Milliseconds(), 1)
	}
	if _, err := c.wire.checkSize(q); err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		c.recordUnanswered(session, startedAt)
		return nil, masticerror.Wrap(err, masticerror.KindNoQuorum, "open a stream to %s", c.address)
	}
	s := &Stream{client: c, session: session, stream: stream, reader: newReader(stream), context: ctx, startedAt: startedAt}
	s.stopInterrupt = context.AfterFunc(ctx, s.interrupt)
	_ = stream.SetWriteDeadline(time.Now().Add(c.wire.writeTimeout))
	if err := c.wire.writeFrame(stream, q); err != nil {
		s.Close()
		return nil, masticerror.Wrap(err, masticerror.KindOutcomeUnknown, "send to %s", c.address)
	}
	return s, nil
}

// Stream is a sequence of answers. It is not safe for concurrent use.
type Stream struct {
	client        *Client
	session       *yamux.Session
	stream        *yamux.Stream
	reader        *bufio.Reader
	context       context.Context
	startedAt     time.Time
	stopInterrupt func() bool
}

// Next returns the next answer. The stream cannot be used after an error.
func (s *Stream) Next() (*masticproto.PeerAnswer, error) {
	answer := new(masticproto.PeerAnswer)
	if err := s.client.wire.readFrame(s.reader, answer); err != nil {
		return nil, s.readError(err)
	}
	s.client.recordAnswer(s.session)
	if e := answer.GetError(); e != nil {
		return nil, decodeError(e)
	}
	return answer, nil
}

// Close ends the stream on both sides.
func (s *Stream) Close() {
	s.stopInterrupt()
	_ = s.stream.Close()
}

func (s *Stream) interrupt() { _ = s.stream.SetReadDeadline(time.Now()) }

func (s *Stream) readError(err error) error {
	if cause := s.context.Err(); cause != nil {
		if errors.Is(cause, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
			s.client.recordUnanswered(s.session, s.startedAt)
		}
		return masticerror.Wrap(cause, masticerror.KindOutcomeUnknown, "no answer from %s in time", s.client.address)
	}
	return masticerror.Wrap(err, masticerror.KindOutcomeUnknown, "read from %s", s.client.address)
}
