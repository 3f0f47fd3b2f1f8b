package masticengine

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"masticladder/masticerror"
	"masticladder/masticview"
)

// exchange is one request to a server and the answer that came of it.
type exchange struct {
	client  *Client
	call    Call
	ctx     context.Context
	cancel  context.CancelCauseFunc
	watch   *watchdog
	trace   sendTrace
	running *runningCall
	answer  *http.Response
}

// begin sends the call and returns once the answer's header is there and belongs to it.
func (c *Client) begin(ctx context.Context, call Call, first time.Duration) (*exchange, *Failure) {
	x := &exchange{client: c, call: call}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.watch = newWatchdog(x.cancel, call.Guard, tick(first))
	x.watch.extend(first)
	if err := c.learn(x.ctx, call.Server); err != nil {
		defer x.close()
		return nil, &Failure{Err: classify(x.ctx, err, false)}
	}
	x.running = c.enter(call)
	if f := x.send(); f != nil {
		x.close()
		return nil, f
	}
	return x, nil
}

// tick returns how often a watchdog looks, so that a short bound is kept too.
func tick(span time.Duration) time.Duration {
	return max(min(span/8, time.Second), time.Millisecond)
}

func (x *exchange) send() *Failure {
	q, err := x.request()
	if err != nil {
		return &Failure{Err: classify(x.ctx, err, false)}
	}
	x.answer, err = x.transport().RoundTrip(q)
	if err != nil {
		return x.fail(err)
	}
	if x.isCrossed() {
		x.client.counters.Crossed.Add(1)
		return x.fail(errCrossed)
	}
	if x.isEngine() {
		x.client.saw(x.running, x.answer.Header.Get(HeaderIncarnation))
	}
	return nil
}

func (x *exchange) request() (*http.Request, error) {
	url := x.call.Server.URL + x.call.Path
	if x.call.Query != "" {
		url += "?" + x.call.Query
	}
	ctx := httptrace.WithClientTrace(x.ctx, x.trace.hooks())
	q, err := http.NewRequestWithContext(ctx, x.call.Method, url, bytes.NewReader(x.call.Body))
	if err != nil {
		return nil, err
	}
	q.Header = x.call.header()
	if x.call.Once {
		q.GetBody = nil
	}
	return q, nil
}

func (x *exchange) transport() *http.Transport {
	if x.call.Once {
		return x.client.fresh
	}
	return x.client.pooled
}

func (x *exchange) isEngine() bool { return x.call.Server.Kind == masticview.ServerEngine }

// isCrossed reports whether the answer is that of another request. Engines must
// name the request; plain services may.
func (x *exchange) isCrossed() bool {
	id := x.answer.Header.Get(HeaderRequestID)
	if id == "" && !x.isEngine() {
		return false
	}
	return id != x.call.RequestID
}

// fail ends the exchange: nothing more of the request is sent after it.
func (x *exchange) fail(err error) *Failure {
	sent := x.trace.stop() || x.answer != nil
	f := &Failure{Err: classify(x.ctx, err, sent), Sent: sent}
	x.count(f)
	if x.running == nil {
		return f
	}
	f.Incarnation = x.running.incarnation
	if x.looksEnded(f, err) {
		f.ServerEnded = x.client.checkEnded(x.call, x.running)
	}
	return f
}

// beforeWait lets the caller act before the stream waits for more.
func (x *exchange) beforeWait() *Failure {
	if x.call.BeforeWait == nil {
		return nil
	}
	if err := x.call.BeforeWait(); err != nil {
		x.cancel(masticerror.From(err))
		return x.fail(err)
	}
	return nil
}

func (x *exchange) count(f *Failure) {
	switch {
	case context.Cause(x.ctx) == errSilent, f.Err.Kind() == masticerror.KindDeadline:
		x.client.counters.Late.Add(1)
	}
}

// looksEnded reports whether the connection broke by itself after the request was sent.
func (x *exchange) looksEnded(f *Failure, err error) bool {
	if !f.Sent || !x.isEngine() || x.ctx.Err() != nil {
		return false
	}
	switch err {
	case errCrossed, errGap, errTooLarge, errUnbounded:
		return false
	default:
		return true
	}
}

func (x *exchange) close() {
	x.watch.stop()
	x.cancel(context.Canceled)
	if x.answer != nil {
		_ = x.answer.Body.Close()
	}
	if x.running != nil {
		x.client.leave(x.running)
	}
}
