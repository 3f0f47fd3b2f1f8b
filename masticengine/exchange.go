package masticengine

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"masticladder/masticbody"
	"masticladder/masticcall"
	"masticladder/masticerror"
	"masticladder/masticview"
)

// exchange is one request to a server and its answer.
type exchange struct {
	client  *Client
	call    Call
	ctx     context.Context
	cancel  context.CancelCauseFunc
	watch   *watchdog
	trace   sendTrace
	running *runningCall
	// singleUse reports that the call has a connection of its own.
	singleUse bool
	answer    *http.Response
	// header is the memory of the answer's header.
	header *masticbody.Reservation
	// statement is what the answer states about the server.
	statement masticcall.Statement
}

// begin sends the call and returns after it has received the answer's header and verified that
// the answer belongs to the call. timeout applies until the first event or the complete answer.
func (c *Client) begin(ctx context.Context, call Call, timeout time.Duration) (*exchange, *Failure) {
	x := &exchange{client: c, call: call, header: c.answers.Reserve()}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.watch = newWatchdog(x.cancel, call.Check, checkInterval(timeout))
	x.watch.extend(timeout)
	if err := c.ensureIncarnation(x.ctx, call.Server); err != nil {
		defer x.close()
		return nil, &Failure{Err: classify(x.ctx, err, false)}
	}
	x.running = c.addRunning(call)
	if f := x.send(); f != nil {
		x.close()
		return nil, f
	}
	return x, nil
}

// checkInterval returns the interval at which a watchdog checks a timeout. It is an eighth of
// the timeout, from 1 ms to 1 s, so that short timeouts are detected in time too.
func checkInterval(timeout time.Duration) time.Duration {
	return max(min(timeout/8, time.Second), time.Millisecond)
}

func (x *exchange) send() *Failure {
	q, err := x.request()
	if err != nil {
		return &Failure{Err: classify(x.ctx, err, false)}
	}
	x.singleUse = x.call.Once || !x.isEngine() && !x.client.echoesID(x.call.Server.Name)
	sentAt := time.Now()
	x.answer, err = x.transport().RoundTrip(q)
	if err != nil {
		return x.fail(err)
	}
	if x.answer.StatusCode < minStatus {
		return x.fail(errStatus)
	}
	if !x.header.Resize(headerMemory(x.answer.Header)) {
		return x.fail(errMemory)
	}
	x.client.setEchoesID(x.call.Server.Name, x.answer.Header.Get(HeaderRequestID) == x.call.RequestID)
	if x.isWrongRequest() {
		x.client.counters.WrongRequest.Add(1)
		return x.fail(errWrongRequest)
	}
	if x.isEngine() {
		x.client.recordIncarnation(x.running, x.answer.Header.Get(HeaderIncarnation))
	}
	x.statement = x.observeStatement(sentAt)
	x.running.attempt.Answered()
	return nil
}

// minStatus is the lowest HTTP status. The parser also takes statuses like 000, 099 and +20.
const minStatus = 100

// Estimated memory of a header, and what of it is not counted.
const (
	headerFieldBytes = 200
	freeHeaderBytes  = 8 << 10
)

// headerMemory returns the memory of h beyond that of an ordinary one.
func headerMemory(h http.Header) int64 {
	n := int64(0)
	for name, values := range h {
		n += int64(len(name))
		for _, v := range values {
			n += headerFieldBytes + int64(len(v))
		}
	}
	return max(0, n-freeHeaderBytes)
}

func (x *exchange) request() (*http.Request, error) {
	url := x.call.Server.URL + x.call.Path
	if x.call.Query != "" {
		url += "?" + x.call.Query
	}
	ctx := httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{GotConn: x.gotConn, Got1xxResponse: x.observeInformational})
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

// gotConn records the connection that net/http assigned and calls Call.BeforeSend. net/http calls it before it writes.
func (x *exchange) gotConn(i httptrace.GotConnInfo) {
	x.trace.gotConn(i)
	if x.call.BeforeSend == nil {
		return
	}
	if err := x.call.BeforeSend(); err != nil {
		x.cancel(masticerror.From(err))
		x.trace.stop()
	}
}

// transport returns the single-use transport for calls that must not be repeated, and for plain services
// whose answers do not state the request's ID: on a used connection, a second copy of an earlier answer
// could not be told from the answer to this call.
func (x *exchange) transport() *http.Transport {
	if x.singleUse {
		return x.client.singleUse
	}
	return x.client.pooled
}

func (x *exchange) isEngine() bool { return x.call.Server.Kind == masticview.ServerEngine }

// isWrongRequest reports whether the answer belongs to another request. Engines must state the
// request's ID; plain services may omit it on a connection of its own.
func (x *exchange) isWrongRequest() bool {
	id := x.answer.Header.Get(HeaderRequestID)
	if id == "" && !x.isEngine() && x.singleUse {
		return false
	}
	return id != x.call.RequestID
}

// fail stops sending the request and returns the failure for err. Unless the call was ended by its
// caller or a timeout, or if it has a hold, it also checks whether the server's incarnation has ended.
func (x *exchange) fail(err error) *Failure {
	sent := x.trace.stop() || x.answer != nil
	f := &Failure{Err: classify(x.ctx, err, sent), Sent: sent}
	x.count(f)
	if x.running == nil {
		return f
	}
	f.Incarnation = x.running.incarnation
	switch {
	case !sent:
	case x.ctx.Err() != nil && !x.call.Held:
		x.running.attempt.Abandoned()
	case x.ctx.Err() != nil:
		f.ServerEnded = x.checkEnded(x.running.attempt.AbandonedTrial)
	default:
		f.ServerEnded = x.checkEnded(x.running.attempt.Failed)
	}
	return f
}

// checkEnded reports the failed call to the detector by failed, and returns whether the server has ended or is
// lost.
func (x *exchange) checkEnded(failed func(context.Context) masticcall.Verdict) bool {
	ctx, cancel := context.WithTimeout(context.Background(), millis(x.client.limits.ProbeTimeoutMillis))
	defer cancel()
	switch failed(ctx) {
	case masticcall.VerdictLost, masticcall.VerdictEnded:
		return true
	default:
		return false
	}
}

// beforeWait calls Call.BeforeWait and ends the call if it returns an error.
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
	case context.Cause(x.ctx) == errServerTimeout, f.Err.Kind() == masticerror.KindDeadline:
		x.client.counters.TimedOut.Add(1)
	}
}

func (x *exchange) close() {
	x.watch.stop()
	x.cancel(context.Canceled)
	if x.answer != nil {
		_ = x.answer.Body.Close()
	}
	x.header.Release()
	if x.running != nil {
		x.running.attempt.End()
	}
}
