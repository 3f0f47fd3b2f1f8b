package masticwire

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticproto"
)

const testTimeout = 20 * time.Second

// echoHandler answers with the host name of the request. The names "fail", "wait" and "large"
// produce an error, no answer until the caller gives up, and an oversized answer.
type echoHandler struct {
	calls    atomic.Int64
	received chan string
	ended    chan struct{}
	streamed atomic.Int64
}

func (e *echoHandler) Answer(ctx context.Context, q *masticproto.PeerRequest) (*masticproto.PeerAnswer, error) {
	e.calls.Add(1)
	name := q.GetWatch().GetHost()
	switch name {
	case "fail":
		cause := masticerror.New(masticerror.KindNotLeader, "not here")
		return nil, NewAnswerError(cause, "b", "127.0.0.1:7")
	case "wait":
		<-ctx.Done()
		e.ended <- struct{}{}
		return nil, ctx.Err()
	case "large":
		name = strings.Repeat("x", 2*testFrameBytes)
	}
	return namedAnswer(name), nil
}

func (e *echoHandler) Receive(q *masticproto.PeerRequest) { e.received <- q.GetWatch().GetHost() }

func (e *echoHandler) Stream(ctx context.Context, q *masticproto.PeerRequest, send func(*masticproto.PeerAnswer) error) error {
	defer func() { e.ended <- struct{}{} }()
	for ctx.Err() == nil {
		if err := send(namedAnswer(strings.Repeat("y", 32<<10))); err != nil {
			return err
		}
		e.streamed.Add(1)
	}
	return ctx.Err()
}

const testFrameBytes = 64 << 10

func namedAnswer(name string) *masticproto.PeerAnswer {
	return &masticproto.PeerAnswer{Kind: &masticproto.PeerAnswer_Status{Status: &masticproto.StatusAnswer{Host: name}}}
}

func namedRequest(name string) *masticproto.PeerRequest {
	return &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Watch{Watch: &masticproto.WatchRequest{Host: name}}}
}

func serve(t *testing.T, w *Wire) (*Server, *echoHandler) {
	e := &echoHandler{received: make(chan string, 1<<16), ended: make(chan struct{}, 16)}
	s, err := w.Listen("127.0.0.1:0", e)
	if err != nil {
		t.Fatal(err)
	}
	r := &serverRun{server: s}
	r.done.Add(1)
	go r.run()
	t.Cleanup(func() { s.Stop(); r.done.Wait() })
	return s, e
}

type serverRun struct {
	server *Server
	done   sync.WaitGroup
}

func (r *serverRun) run() {
	defer r.done.Done()
	_ = r.server.Run()
}

func connect(t *testing.T, w *Wire, address string) *Client {
	c, err := w.Client(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCallAnswersAndErrors(t *testing.T) {
	c := quicktest.New(t)
	w := New(WithMaxFrameBytes(testFrameBytes))
	s, _ := serve(t, w)
	client := connect(t, w, s.Address())
	answer, err := client.Call(withTimeout(t, testTimeout), namedRequest("one"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.GetStatus().GetHost(), quicktest.Equals, "one")

	_, err = client.Call(withTimeout(t, testTimeout), namedRequest("fail"))
	var remote *AnswerError
	c.Assert(errors.As(err, &remote), quicktest.IsTrue)
	c.Assert(remote.LeaderAddress, quicktest.Equals, "127.0.0.1:7")
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindNotLeader)
}

func TestHostNamesAreRejectedAsAddresses(t *testing.T) {
	c := quicktest.New(t)
	_, err := New().Client("localhost:80")
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindBadRequest)
}

func TestDeadlineAndCancellationReachTheOtherHost(t *testing.T) {
	c := quicktest.New(t)
	w := New()
	s, e := serve(t, w)
	client := connect(t, w, s.Address())
	_, err := client.Call(withTimeout(t, 50*time.Millisecond), namedRequest("wait"))
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindOutcomeUnknown)
	<-e.ended

	ctx, cancel := context.WithCancel(context.Background())
	stop := time.AfterFunc(50*time.Millisecond, cancel)
	defer stop.Stop()
	_, err = client.Call(ctx, namedRequest("wait"))
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindOutcomeUnknown)
	<-e.ended
}

func TestOversizedFramesAreRejected(t *testing.T) {
	c := quicktest.New(t)
	w := New(WithMaxFrameBytes(testFrameBytes))
	s, e := serve(t, w)
	client := connect(t, w, s.Address())
	_, err := client.Call(withTimeout(t, testTimeout), namedRequest(strings.Repeat("x", 2*testFrameBytes)))
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindBodyTooLarge)
	c.Assert(masticerror.KindOf(client.Send(namedRequest(strings.Repeat("x", 2*testFrameBytes)))), quicktest.Equals, masticerror.KindBodyTooLarge)
	_, err = client.Call(withTimeout(t, testTimeout), namedRequest("large"))
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindBodyTooLarge)

	before := e.calls.Load()
	largeFrameClient := connect(t, New(WithMaxFrameBytes(1<<20)), s.Address())
	_, err = largeFrameClient.Call(withTimeout(t, testTimeout), namedRequest(strings.Repeat("x", 2*testFrameBytes)))
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindOutcomeUnknown)
	c.Assert(e.calls.Load(), quicktest.Equals, before)
}

func TestClientReconnectsAfterBrokenConnection(t *testing.T) {
	c := quicktest.New(t)
	w := New(WithBackoff(time.Millisecond, 10*time.Millisecond))
	s, e := serve(t, w)
	r := newRelay(t, s.Address())
	client := connect(t, w, r.listener.Addr().String())
	for range 5 {
		callUntilAnswered(t, client)
		r.closeConns()
	}
	callUntilAnswered(t, client)
	for i := range 100 {
		c.Assert(client.Send(namedRequest(string(rune('0'+i%10)))), quicktest.IsNil)
	}
	for i := range 100 {
		c.Assert(<-e.received, quicktest.Equals, string(rune('0'+i%10)))
	}
}

func callUntilAnswered(t *testing.T, client *Client) {
	ctx := withTimeout(t, testTimeout)
	for {
		_, err := client.Call(ctx, namedRequest("one"))
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

func TestSlowReaderLosesOnlyItsStream(t *testing.T) {
	c := quicktest.New(t)
	w := New(WithWriteTimeout(200 * time.Millisecond))
	s, e := serve(t, w)
	client := connect(t, w, s.Address())
	q := namedRequest("stream")
	q.Mode = masticproto.PeerMode_PEER_STREAM
	stream, err := client.Stream(context.Background(), q)
	c.Assert(err, quicktest.IsNil)
	defer stream.Close()
	<-e.ended
	c.Assert(e.streamed.Load()*(32<<10) < 1<<20, quicktest.IsTrue)
	_, err = client.Call(withTimeout(t, testTimeout), namedRequest("one"))
	c.Assert(err, quicktest.IsNil)
}

func TestSendFailsWhenOutboxIsFull(t *testing.T) {
	c := quicktest.New(t)
	w := New(WithMaxOutboxMessages(4), WithSecurity(testSecurity(t, "fleet")), WithDialTimeout(testTimeout))
	client := connect(t, w, newSilentListener(t))
	var err error
	for range 6 {
		err = errors.Join(err, client.Send(namedRequest("x")))
	}
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindOverloaded)
}
