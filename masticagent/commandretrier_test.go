package masticagent

import (
	"context"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"masticladder/masticcall"
	"masticladder/masticproto"
	"masticladder/masticview"
	"masticladder/masticwire"
)

// endCounter is a control host that counts the ends of holds.
type endCounter struct {
	fakeHost
	ends atomic.Int64
}

func (h *endCounter) Answer(ctx context.Context, q *masticproto.PeerRequest) (*masticproto.PeerAnswer, error) {
	if q.GetCommand().GetSuspectEnd() != nil {
		h.ends.Add(1)
	}
	return answersCommand(ctx)
}

// TestHoldsOfAStoppedHostAreKept: holds that a host gave back as it stopped were kept until their deadlines, so that other hosts'
// requests with the same content waited.
func TestHoldsOfAStoppedHostAreKept(t *testing.T) {
	c := qt.New(t)
	h := &endCounter{}
	server, err := masticwire.New().Listen("127.0.0.1:0", h)
	c.Assert(err, qt.IsNil)
	h.server = server
	h.running.Add(1)
	go h.run()
	c.Cleanup(h.stop)
	a, err := New(WithHost("host-1"), WithControlPeers(server.Address()))
	c.Assert(err, qt.IsNil)
	const holds = 3
	for i := range holds {
		a.Holds().Release(masticcall.Content{Digest: masticview.DigestOf([]byte{byte(i)})}, "server-1", false)
	}
	a.Stop(nil)
	c.Assert(a.Run(), qt.IsNil)
	c.Assert(h.ends.Load(), qt.Equals, int64(holds))
}
