package masticwire

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"masticladder/masticproto"
)

// serving is one stream that another host opened.
type serving struct {
	wire    *Wire
	handler Handler
	stream  *yamux.Stream
	places  chan struct{}
	running *sync.WaitGroup
}

func (v *serving) run(ctx context.Context) {
	defer v.running.Done()
	defer func() { <-v.places }()
	defer func() { _ = v.stream.Close() }()
	reader := bufio.NewReader(v.stream)
	q := new(masticproto.PeerRequest)
	if err := v.wire.readFrame(reader, q); err != nil {
		return
	}
	if q.GetMode() == masticproto.PeerMode_PEER_ONE_WAY {
		v.receive(reader, q)
		return
	}
	ctx, cancel := callContext(ctx, q)
	defer cancel()
	watch := &hangUp{stream: v.stream, cancel: cancel}
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

func (v *serving) receive(reader *bufio.Reader, q *masticproto.PeerRequest) {
	for {
		v.handler.Receive(q)
		q = new(masticproto.PeerRequest)
		if err := v.wire.readFrame(reader, q); err != nil {
			return
		}
	}
}

// send fails when the reader has not made room within the write timeout.
func (v *serving) send(answer *masticproto.PeerAnswer) error {
	_ = v.stream.SetWriteDeadline(time.Now().Add(v.wire.write))
	return v.wire.writeFrame(v.stream, answer)
}

// hangUp ends a call's context when the caller closes its stream.
type hangUp struct {
	stream *yamux.Stream
	cancel context.CancelFunc
}

func (h *hangUp) run() {
	defer h.cancel()
	var one [1]byte
	_, _ = h.stream.Read(one[:])
}
