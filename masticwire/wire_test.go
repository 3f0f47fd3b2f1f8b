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

const testBound = 20 * time.Second

// echo answers with the asked host name, and knows some names that behave otherwise.
type echo struct {
	calls    atomic.Int64
	received chan string
	ended    chan struct{}
	streamed atomic.Int64
}

func (e *echo) Answer(ctx context.Context, q *masticproto.PeerRequest) (*masticproto.PeerAnswer, error) {
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

func (e *echo) Receive(q *masticproto.PeerRequest) { e.received <- q.GetWatch().GetHost() }

func (e *echo) Stream(ctx context.Context, q *masticproto.PeerRequest, send func(*masticproto.PeerAnswer) error) error {
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

func ask(name string) *masticproto.PeerRequest {
	return &masticproto.PeerRequest{Kind: &masticproto.PeerRequest_Watch{Watch: &masticproto.WatchRequest{Host: name}}}
}

func serve(t *testing.T, w *Wire) (*Server, *echo) {
	e := &echo{received: make(chan string, 1<<16), ended: make(chan struct{}, 16)}
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

func bounded(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCallAnswersAndErrors(t *testing.T) {
	c := quicktest.New(t)
	w := New(WithFrameBytes(testFrameBytes))
	s, _ := serve(t, w)
	client := connect(t, w, s.Address())
	answer, err := client.Call(bounded(t, testBound), ask("one"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(answer.GetStatus().GetHost(), quicktest.Equals, "one")

	_, err = client.Call(bounded(t, testBound), ask("fail"))
	var remote *AnswerError
	c.Assert(errors.As(err, &remote), quicktest.IsTrue)
	c.Assert(remote.LeaderAddress, quicktest.Equals, "127.0.0.1:7")
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindNotLeader)
}

func TestOnlyNumbersAreAddresses(t *testing.T) {
	c := quicktest.New(t)
	_, err := New().Client("localhost:80")
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindBadRequest)
}

func TestDeadlineAndCancellationReachTheOtherHost(t *testing.T) {
	c := quicktest.New(t)
	w := New()
	s, e := serve(t, w)
	client := connect(t, w, s.Address())
	_, err := client.Call(bounded(t, 50*time.Millisecond), ask("wait"))
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindOutcomeUnknown)
	<-e.ended

	ctx, cancel := context.WithCancel(context.Background())
	stop := time.AfterFunc(50*time.Millisecond, cancel)
	defer stop.Stop()
	_, err = client.Call(ctx, ask("wait"))
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindOutcomeUnknown)
	<-e.ended
}

func TestOversizedFrames(t *testing.T) {
	c := quicktest.New(t)
	w := New(WithFrameBytes(testFrameBytes))
	s, e := serve(t, w)
	client := connect(t, w, s.Address())
	_, err := client.Call(bounded(t, testBound), ask(strings.Repeat("x", 2*testFrameBytes)))
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindBodyTooLarge)
	c.Assert(masticerror.KindOf(client.Send(ask(strings.Repeat("x", 2*testFrameBytes)))), quicktest.Equals, masticerror.KindBodyTooLarge)
	_, err = client.Call(bounded(t, testBound), ask("large"))
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindBodyTooLarge)

	before := e.calls.Load()
	generous := connect(t, New(WithFrameBytes(1<<20)), s.Address())
	_, err = generous.Call(bounded(t, testBound), ask(strings.Repeat("x", 2*testFrameBytes)))
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindOutcomeUnknown)
	c.Assert(e.calls.Load(), quicktest.Equals, before)
}

func TestCutConnectionIsMadeAgain(t *testing.T) {
	c := quicktest.New(t)
	w := New(WithBackoff(time.Millisecond, 10*time.Millisecond))
	s, e := serve(t, w)
	r := newRelay(t, s.Address())
	client := connect(t, w, r.listener.Addr().String())
	for range 5 {
		callUntilAnswered(t, client)
		r.cut()
	}
	callUntilAnswered(t, client)
	for i := range 100 {
		c.Assert(client.Send(ask(string(rune('0'+i%10)))), quicktest.IsNil)
	}
	for i := range 100 {
		c.Assert(<-e.received, quicktest.Equals, string(rune('0'+i%10)))
	}
}

func callUntilAnswered(t *testing.T, client *Client) {
	ctx := bounded(t, testBound)
	for {
		_, err := client.Call(ctx, ask("one"))
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
	q := ask("stream")
	q.Mode = masticproto.PeerMode_PEER_STREAM
	stream, err := client.Stream(context.Background(), q)
	c.Assert(err, quicktest.IsNil)
	defer stream.Close()
	<-e.ended
	c.Assert(e.streamed.Load()*(32<<10) < 1<<20, quicktest.IsTrue)
	_, err = client.Call(bounded(t, testBound), ask("one"))
	c.Assert(err, quicktest.IsNil)
}

func TestFullOutboxIsStated(t *testing.T) {
	c := quicktest.New(t)
	w := New(WithOutboxMessages(4), WithSecurity(testSecurity(t, "fleet")), WithDialTimeout(testBound))
	client := connect(t, w, newSilentListener(t))
	var err error
	for range 6 {
		err = errors.Join(err, client.Send(ask("x")))
	}
	c.Assert(masticerror.KindOf(err), quicktest.Equals, masticerror.KindOverloaded)
}
