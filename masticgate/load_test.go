package masticgate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"masticladder/masticerror"
	"masticladder/masticfake"
	"masticladder/masticview"
)

const (
	manyRequests   = 200
	atOnce         = 20
	longPromptSize = 20_000
)

// manyCallers sends numbered requests, some at a time, and keeps what failed.
type manyCallers struct {
	bed    *bed
	next   atomic.Int64
	wait   sync.WaitGroup
	mu     sync.Mutex
	faults []string
}

func (m *manyCallers) loop() {
	defer m.wait.Done()
	for {
		n := m.next.Add(1)
		if n > manyRequests {
			return
		}
		m.one(n)
	}
}

func (m *manyCallers) one(n int64) {
	text := fmt.Sprintf("%d:", n) + strings.Repeat("blade ", longPromptSize/6)
	q := m.bed.request(context.Background(), http.MethodPost, "/v1/chat/completions", chatBody(n%2 == 0, text))
	a, err := m.bed.server.Client().Do(q)
	if err != nil {
		m.fault(n, err.Error())
		return
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil || a.StatusCode != http.StatusOK {
		m.fault(n, fmt.Sprintf("%d %v %s", a.StatusCode, err, body))
		return
	}
	if n%2 == 0 {
		if s := readStream(m.bed.c, body); !s.ended || s.text != textFor(text, 32) {
			m.fault(n, "stream not whole or not its own")
		}
		return
	}
	if !bytes.Contains(body, []byte(textFor(text, 32))) {
		m.fault(n, "answer not its own")
	}
}

func (m *manyCallers) fault(n int64, what string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = append(m.faults, fmt.Sprintf("request %d: %s", n, what))
}

func (b *bed) many() []string {
	m := &manyCallers{bed: b}
	for range atOnce {
		m.wait.Add(1)
		go m.loop()
	}
	m.wait.Wait()
	return m.faults
}

// TestManyLongPrompts sends 200 requests of 20,000 bytes, 20 at a time.
func TestManyLongPrompts(t *testing.T) {
	b := newBed(t)
	b.addEngine("engine-1")
	b.start()
	b.c.Assert(b.many(), qt.HasLen, 0)
}

// TestManyOnBadEngine sends them to an engine that crosses events, and on to a good one.
func TestManyOnBadEngine(t *testing.T) {
	b := newBed(t)
	bad, _ := b.addEngine("engine-1")
	bad.SetMode(masticfake.ModeCrossedEvents)
	b.addEngine("engine-2")
	b.start()
	b.c.Assert(b.many(), qt.HasLen, 0)
	b.c.Assert(b.engine.Counters().Crossed.Load(), qt.Equals, int64(manyRequests/2))
}

func TestRefusalStorm(t *testing.T) {
	b := newBed(t)
	for i := range 6 {
		e, _ := b.addEngine(fmt.Sprintf("engine-%d", i))
		e.SetMode(masticfake.ModeRefuse)
	}
	b.start()
	r, _ := b.stream("storm")
	b.c.Assert(r.status, qt.Equals, http.StatusBadGateway)
	b.c.Assert(r.header.Get("Retry-After"), qt.Equals, "1")
	b.c.Assert(b.dispatcher.done(), qt.HasLen, b.limits.MaxAttempts)
}

// TestDeadline checks that an answer that would come after the deadline is not waited for.
func TestDeadline(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	e, _ := b.addEngine("engine-1")
	e.SetMode(masticfake.ModeHang)
	b.addEngine("engine-2")
	b.start()
	r := b.send(http.MethodPost, "/v1/chat/completions", chatBody(false, "x"), HeaderTimeout, "1000")
	b.c.Assert(r.status, qt.Equals, http.StatusGatewayTimeout)
	b.c.Assert(r.detail(b.c).Kind, qt.Equals, masticerror.KindDeadline)
	b.c.Assert(r.detail(b.c).NotRun, qt.IsFalse)
	e.SetMode(masticfake.ModeStall)
	_, s := b.stream("x", HeaderTimeout, "1000")
	b.c.Assert(s.ended, qt.IsFalse)
	b.c.Assert(s.err.Kind, qt.Equals, masticerror.KindDeadline)
	b.c.Assert(b.engine.Counters().Late.Load(), qt.Equals, int64(2))
}

// TestNoGrantInTime checks that a request waits for its quota only as long as its first
// token can still be in time.
func TestNoGrantInTime(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	b.limiter.slow = true
	b.start()
	r, _ := b.stream("x", HeaderTimeout, "30000")
	b.c.Assert(r.detail(b.c).Kind, qt.Equals, masticerror.KindRateLimited)
	b.c.Assert(r.detail(b.c).NotRun, qt.IsTrue)
}

func TestCallerGone(t *testing.T) {
	b := newBed(t)
	e, _ := b.addEngine("engine-1")
	e.SetMode(masticfake.ModeStall)
	b.start()
	ctx, cancel := context.WithCancel(context.Background())
	b.openStream(ctx)
	cancel()
	b.eventually(func() bool { return e.Cancelled() == 1 && b.gate.Running() == 0 })
	b.c.Assert(b.usage.last().Refusal, qt.Equals, "cancelled")
	b.c.Assert(b.limiter.settled[0] > 0, qt.IsTrue)
}

// stuckCaller opens a stream over a plain connection and reads nothing.
func (b *bed) stuckCaller() net.Conn {
	c, err := net.Dial("tcp", b.server.Listener.Addr().String())
	b.c.Assert(err, qt.IsNil)
	b.t.Cleanup(func() { _ = c.Close() })
	b.c.Assert(c.(*net.TCPConn).SetReadBuffer(4<<10), qt.IsNil)
	q := b.request(context.Background(), http.MethodPost, "/v1/chat/completions", chatBody(true, "endless"))
	b.c.Assert(q.Write(c), qt.IsNil)
	return c
}

// TestStuckCaller checks that a caller that takes nothing is cut at the bound, holds
// up no other caller.
func TestStuckCaller(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	b.limits.CallerWriteMillis = 500
	const longOutput = 60_000
	b.views.change(func(v masticview.View) masticview.View {
		p, _ := v.Profile("review")
		p.MaxOutputTokens = longOutput
		return v.WithProfile(p)
	})
	e, _ := b.addEngine("engine-1", masticfake.WithOutput(longOutput))
	b.start()
	b.stuckCaller()
	b.eventually(func() bool { return len(e.Received()) == 1 })
	r := b.send(http.MethodPost, "/v1/chat/completions", strings.Replace(chatBody(false, "y"), `"stream"`, `"max_tokens":8,"stream"`, 1))
	b.c.Assert(r.status, qt.Equals, http.StatusOK)
	b.eventually(func() bool { return b.gate.Running() == 0 })
	b.c.Assert(b.usage.last().Refusal, qt.Equals, "cancelled")
	b.c.Assert(b.engine.Counters().Late.Load(), qt.Equals, int64(0))
	b.c.Assert(len(e.Received()), qt.Equals, 2)
}

// TestDrainCutsNothing drains while a stream runs; new work is refused and the stream ends whole.
func TestDrainCutsNothing(t *testing.T) {
	b := newBed(t)
	b.addEngine("engine-1", masticfake.WithSpeed(0, 100))
	b.start()
	a := b.openStream(context.Background())
	b.gate.Drain()
	b.c.Assert(b.gate.Running(), qt.Equals, 1)
	r, _ := b.stream("new")
	b.c.Assert(r.detail(b.c).Kind, qt.Equals, masticerror.KindDraining)
	b.c.Assert(r.detail(b.c).NotRun, qt.IsTrue)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	b.c.Assert(b.gate.Wait(ended), qt.Equals, context.Canceled)
	rest, err := io.ReadAll(a.Body)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(strings.HasSuffix(string(rest), "data: [DONE]\n\n"), qt.IsTrue)
	b.c.Assert(b.gate.Wait(context.Background()), qt.IsNil)
}

// endlessBody counts how much of a large body was taken.
type endlessBody struct {
	left  int64
	taken atomic.Int64
}

func (e *endlessBody) Read(p []byte) (int, error) {
	n := min(int64(len(p)), e.left-e.taken.Load())
	if n == 0 {
		return 0, io.EOF
	}
	e.taken.Add(n)
	return int(n), nil
}

// TestLargeBody sends 100 MB, with and without a stated length.
func TestLargeBody(t *testing.T) {
	for _, stated := range []int64{100 << 20, -1} {
		b := newBed(t).start()
		body := &endlessBody{left: 100 << 20}
		q := b.request(context.Background(), http.MethodPost, "/v1/chat/completions", "")
		q.Body, q.ContentLength = io.NopCloser(body), stated
		a, err := b.server.Client().Do(q)
		b.c.Assert(err, qt.IsNil)
		b.c.Assert(a.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
		b.c.Assert(a.Body.Close(), qt.IsNil)
		b.c.Assert(body.taken.Load() < 64<<20, qt.IsTrue)
	}
}

// TestBodiesTogether checks that the bodies of running requests are bounded together,
// and that an ended request gives its share back.
func TestBodiesTogether(t *testing.T) {
	b := newBed(t)
	b.limits.MaxBodiesBytes = 1500
	e, _ := b.addEngine("engine-1")
	e.SetMode(masticfake.ModeStall)
	b.start()
	ctx, cancel := context.WithCancel(context.Background())
	b.openStream(ctx)
	large := chatBody(false, strings.Repeat("x", 1400))
	r := b.send(http.MethodPost, "/v1/chat/completions", large)
	b.c.Assert(r.detail(b.c).Kind, qt.Equals, masticerror.KindOverloaded)
	b.c.Assert(r.detail(b.c).NotRun, qt.IsTrue)
	cancel()
	b.eventually(func() bool { return b.gate.bodies.used.Load() == 0 })
	e.SetMode(masticfake.ModeNormal)
	r = b.send(http.MethodPost, "/v1/chat/completions", large)
	b.c.Assert(r.status, qt.Equals, http.StatusOK)
}

func TestLargeHeader(t *testing.T) {
	t.Parallel()
	b := newBed(t).start()
	r := b.send(http.MethodGet, "/v1/models", "", "X-Large", strings.Repeat("x", 128<<10))
	b.c.Assert(r.status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
}

// TestSlowBody checks that a caller that never finishes its body is cut at the bound,
// whether its body is wanted or not.
func TestSlowBody(t *testing.T) {
	for key, status := range map[string]string{testKey: "400 Bad Request", "unknown": "401 Unauthorized"} {
		b := newBed(t)
		b.limits.BodyMillis = 100
		b.start()
		c, err := net.Dial("tcp", b.server.Listener.Addr().String())
		b.c.Assert(err, qt.IsNil)
		defer c.Close()
		_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", key)
		b.c.Assert(err, qt.IsNil)
		b.c.Assert(c.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		answer, err := io.ReadAll(c)
		b.c.Assert(err, qt.IsNil)
		b.c.Assert(string(answer), qt.Contains, status)
	}
}

// TestUsageEvent checks that only a caller who asked for the usage event gets it.
func TestUsageEvent(t *testing.T) {
	b := newBed(t)
	b.addEngine("engine-1")
	b.start()
	body := chatBody(true, "x")
	r := b.send(http.MethodPost, "/v1/chat/completions", body)
	b.c.Assert(string(r.body), qt.Not(qt.Contains), "prompt_tokens")
	body = strings.Replace(body, `"stream"`, `"stream_options":{"include_usage":true},"stream"`, 1)
	r = b.send(http.MethodPost, "/v1/chat/completions", body)
	b.c.Assert(string(r.body), qt.Contains, "prompt_tokens")
	r = b.send(http.MethodPost, "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"kerf"}`, testModel))
	var a struct {
		Choices []struct{ Text string }
	}
	b.c.Assert(json.Unmarshal(r.body, &a), qt.IsNil)
	b.c.Assert(a.Choices[0].Text, qt.Equals, masticfake.Text(testModel, []masticfake.Message{{Role: "prompt", Content: "kerf"}}, 32))
}
