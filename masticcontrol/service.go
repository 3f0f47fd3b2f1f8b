package masticcontrol

import (
	"context"

	"masticladder/masticproto"
	"masticladder/masticring"
)

// maxPendingUpdates bounds the view updates that wait for one slow host.
const maxPendingUpdates = 64

func newUpdates() *updateRing {
	return masticring.New[*masticproto.PeerAnswer]("view updates", maxPendingUpdates)
}

type updateRing = masticring.Ring[*masticproto.PeerAnswer]

// service passes the requests of other hosts to the loop.
type service struct{ loop *loop }

// Answer waits for the loop's answer to one request.
func (s *service) Answer(ctx context.Context, q *masticproto.PeerRequest) (*masticproto.PeerAnswer, error) {
	c := newCall(ctx, q)
	if err := s.loop.queues.offer(c); err != nil {
		if isReport(c) {
			s.loop.counters.RejectedReports.Add(1)
		}
		return nil, err
	}
	return c.wait()
}

// Receive queues a message of the consensus core. It is dropped if the queue is full; the core
// sends it again. Other messages go to the receiver of WithReceiver.
func (s *service) Receive(q *masticproto.PeerRequest) {
	switch {
	case q.GetQuorum() != nil:
		_ = s.loop.messages.Offer(q)
	case s.loop.receive != nil:
		s.loop.receive(q)
	}
}

// Stream sends view updates. A host that does not keep up gets an error and has to watch again.
func (s *service) Stream(ctx context.Context, q *masticproto.PeerRequest, send func(*masticproto.PeerAnswer) error) error {
	w := &watch{
		call:    newCall(ctx, q),
		updates: newUpdates(),
	}
	if err := s.loop.watches.Offer(w); err != nil {
		return err
	}
	if _, err := w.call.wait(); err != nil {
		return err
	}
	defer w.updates.Close()
	for {
		select {
		case u, ok := <-w.updates.Out():
			if !ok {
				return errWatchEnded
			}
			if err := send(u); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
