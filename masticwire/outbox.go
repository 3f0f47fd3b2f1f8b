package masticwire

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"masticladder/masticproto"
	"masticladder/masticring"
)

// outbox sends one-way messages in order. Messages are lost when the connection breaks or
// cannot be established.
type outbox struct {
	client  *Client
	ring    *masticring.Ring[*masticproto.PeerRequest]
	start   sync.Once
	context context.Context
	cancel  context.CancelFunc
}

func newOutbox(c *Client) *outbox {
	o := &outbox{client: c, ring: masticring.New[*masticproto.PeerRequest]("outbox to "+c.address, c.wire.maxOutboxMessages)}
	o.context, o.cancel = context.WithCancel(context.Background())
	return o
}

// Send queues a one-way message without blocking. The error has kind overloaded if the queue is
// full and bodyTooLarge for a message over the size limit. A nil error does not guarantee
// delivery.
func (c *Client) Send(q *masticproto.PeerRequest) error {
	if _, err := c.wire.checkSize(q); err != nil {
		return err
	}
	c.outbox.start.Do(c.outbox.startRun)
	// A message to several hosts is in several outboxes at the same time, so that its mode is
	// only written before it is queued in the first one.
	if q.GetMode() != masticproto.PeerMode_PEER_ONE_WAY {
		q.Mode = masticproto.PeerMode_PEER_ONE_WAY
	}
	return c.outbox.ring.Offer(q)
}

func (o *outbox) startRun() { go o.run() }

func (o *outbox) close() {
	o.cancel()
	o.ring.Close()
}

func (o *outbox) run() {
	var stream *yamux.Stream
	for q := range o.ring.Out() {
		stream = o.send(stream, q)
	}
	if stream != nil {
		_ = stream.Close()
	}
}

// send writes q and returns the stream for the next message, or nil if the connection broke.
func (o *outbox) send(stream *yamux.Stream, q *masticproto.PeerRequest) *yamux.Stream {
	if stream == nil || stream.Session().IsClosed() {
		stream = o.open()
	}
	if stream == nil {
		return nil
	}
	_ = stream.SetWriteDeadline(time.Now().Add(o.client.wire.writeTimeout))
	if err := o.client.wire.writeFrame(stream, q); err != nil {
		_ = stream.Close()
		return nil
	}
	return stream
}

func (o *outbox) open() *yamux.Stream {
	ctx, cancel := context.WithTimeout(o.context, o.client.wire.dialTimeout)
	defer cancel()
	session, err := o.client.connect(ctx)
	if err != nil {
		return nil
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil
	}
	return stream
}
