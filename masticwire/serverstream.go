package masticwire

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"masticladder/masticintake"
	"masticladder/masticproto"
)

// serverStream is one stream opened by another host: a call, a stream of answers, or a sequence
// of one-way messages.
type serverStream struct {
	wire    *Wire
	handler Handler
	// memory counts the messages that arrive, nil without a limit.
	memory  *masticintake.Conn
	stream  *yamux.Stream
	slots   chan struct{}
	running *sync.WaitGroup
}

func (v *serverStream) run(ctx context.Context) {
	defer v.running.Done()
	defer func() { <-v.slots }()
	defer func() { _ = v.stream.Close() }()
	reader := newReader(v.stream)
	defer freeReader(reader)
	q := new(masticproto.PeerRequest)
	if err := v.read(reader, q); err != nil {
		return
	}
	if q.GetMode() == masticproto.PeerMode_PEER_ONE_WAY {
		v.receive(reader, q)
		return
	}
	ctx, cancel := callContext(ctx, q)
	defer cancel()
	watch := &closeWatcher{stream: v.stream, cancel: cancel}
	go watch.run()
	if q.GetMode() == masticproto.PeerMode_PEER_STREAM {
		if err := v.handler.Stream(ctx, q, v.send); err != nil {
			_ = v.send(encodeError(err))
		}
		return
	}
	answer, err := v.handler.Answer(ctx, q)
	if err != nil {
		answer = encodeError(err)
	}
	if err := v.send(answer); err != nil {
		_ = v.send(encodeError(err))
	}
}

func callContext(ctx context.Context, q *masticproto.PeerRequest) (context.Context, context.CancelFunc) {
	if ms := q.GetTimeoutMs(); ms > 0 {
		return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	}
	return context.WithCancel(ctx)
}

func (v *serverStream) receive(reader *bufio.Reader, q *masticproto.PeerRequest) {
	for {
		v.handler.Receive(q)
		q = new(masticproto.PeerRequest)
		if err := v.read(reader, q); err != nil {
			return
		}
	}
}

// read reads a message, whose memory is counted while it arrives. A connection that has sent a message is not closed to
// make room for others.
func (v *serverStream) read(reader *bufio.Reader, q *masticproto.PeerRequest) error {
	if v.memory == nil || v.memory.FirstMessage() {
		// What a connection sends before its first message is counted when it is read.
		if err := v.wire.readFrame(reader, q); err != nil || v.memory == nil {
			return err
		}
		v.memory.Complete()
		return nil
	}
	m := &frameMemory{conn: v.memory}
	defer m.release()
	return v.wire.readCountedFrame(reader, q, m)
}

// send writes an answer. It fails if the reader does not accept the data within the write
// timeout.
func (v *serverStream) send(answer *masticproto.PeerAnswer) error {
	_ = v.stream.SetWriteDeadline(time.Now().Add(v.wire.writeTimeout))
	return v.wire.writeFrame(v.stream, answer)
}

// closeWatcher cancels a call's context when the caller closes its stream.
type closeWatcher struct {
	stream *yamux.Stream
	cancel context.CancelFunc
}

func (h *closeWatcher) run() {
	defer h.cancel()
	var one [1]byte
	_, _ = h.stream.Read(one[:])
}
