package masticgate

import (
	"context"
	"net/http"
	"time"

	"masticladder/masticcall"
	"masticladder/masticdrain"
	"masticladder/masticengine"
	"masticladder/masticerror"
	"masticladder/masticview"
)

const (
	maxIdempotencyKeyBytes = 255
	// firstPollMillis and maxPollMillis bound the exponential backoff between two calls of the
	// ledger.
	firstPollMillis = 20
	maxPollMillis   = 1_000
	// endingRecordMillis bounds the time spent on recording an outcome once the host ends: its connections are closed soon.
	endingRecordMillis = 1_000
)

// serveOrder serves an order: a call that may not be repeated. It continues after the caller
// disconnects, so that the outcome is recorded for a resend.
func (c *serviceCall) serveOrder() {
	q := c.inbound
	c.deadline = q.started.Add(millis(q.gate.limits.OrderMillis))
	q.admit(c.service.Name, c.deadline)
	if e := q.gate.drain.orderError(c.deadline); e != nil {
		q.refuse(e)
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(q.request.Context()), c.deadline)
	defer cancel()
	ctx, scope := q.gate.drain.plan.Sent(ctx)
	defer scope.End()
	key := q.request.Header.Get(HeaderIdempotencyKey)
	switch {
	case key == "":
		c.unkeyedOrder(ctx)
	case len(key) > maxIdempotencyKeyBytes:
		c.fail(masticerror.New(masticerror.KindBadRequest, "the idempotency key is over %d bytes", maxIdempotencyKeyBytes))
	default:
		o := keyedOrder{
			serviceCall: c,
			key:         masticcall.OrderKey{Workspace: q.identity.profile.Workspace, IdempotencyKey: key},
		}
		o.run(ctx)
	}
}

// unkeyedOrder makes one attempt, because without an idempotency key a resend cannot be
// distinguished from a new order.
func (c *serviceCall) unkeyedOrder(ctx context.Context) {
	a, e := c.acquire(ctx)
	if e != nil {
		c.fail(e)
		return
	}
	answer, f := c.dispatch(ctx, a)
	if f != nil {
		c.fail(orderError(f))
		return
	}
	c.succeed(answer)
}

// orderError returns the error of a failed dispatch. Its outcome is unknown unless nothing was sent.
func orderError(f *masticengine.Failure) *masticerror.Error {
	if !f.Sent {
		return f.Err
	}
	return masticerror.Wrap(f, masticerror.KindOutcomeUnknown, "the call may have run; it is not run again")
}

// keyedOrder is an order whose outcome is recorded under an idempotency key.
type keyedOrder struct {
	*serviceCall
	key masticcall.OrderKey
}

// digest returns the digest of the call's content, by which the ledger refuses a key that is
// reused for another call.
func (o *keyedOrder) digest() masticview.Digest { return o.digestOf() }

func (o *keyedOrder) run(ctx context.Context) {
	r, e := o.reserve(ctx)
	if e != nil {
		o.fail(e)
		return
	}
	switch r.State {
	case masticcall.OrderReserved:
		o.runReserved(ctx)
	case masticcall.OrderDone:
		o.replay(r.Answer)
	default:
		o.fail(errOutcomeUnknown())
	}
}

func errOutcomeUnknown() *masticerror.Error {
	return masticerror.New(masticerror.KindOutcomeUnknown, "the call may have run; it is not run again")
}

// reserve polls the ledger until the order is no longer in flight elsewhere. Only a disconnect
// of the caller, the deadline or an error of the ledger ends the wait.
func (o *keyedOrder) reserve(ctx context.Context) (masticcall.Reservation, *masticerror.Error) {
	digest := o.digest()
	for wait := millis(firstPollMillis); ; wait = min(2*wait, millis(maxPollMillis)) {
		r, err := o.inbound.gate.ledger.Reserve(ctx, o.key, digest, o.deadline)
		if err != nil {
			return r, reserveError(ctx, err)
		}
		if r.State != masticcall.OrderInFlight {
			return r, nil
		}
		if !o.pause(ctx, wait) {
			return r, errOutcomeUnknown()
		}
	}
}

// reserveError returns the error of a failed reservation. Errors about the key are returned as
// they are. With any other error, an earlier sending of the same order may have run, so the
// error must not state that it has not run.
func reserveError(ctx context.Context, err error) *masticerror.Error {
	e := preDispatchError(ctx, err)
	switch e.Kind() {
	case masticerror.KindKeyReused, masticerror.KindKeyTooOld:
		return e
	default:
		return e.WithSent()
	}
}

// pause waits. It reports false if ctx ends or the caller disconnects first.
func (o *keyedOrder) pause(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-o.inbound.request.Context().Done():
		return false
	}
}

// runReserved dispatches the order. It is sent to another backend server only if it is certain
// that nothing was sent to the previous one.
func (o *keyedOrder) runReserved(ctx context.Context) {
	var last *masticerror.Error
	for range o.inbound.gate.limits.MaxAttempts {
		a, e := o.acquire(ctx)
		if e != nil {
			if last == nil || e.Kind() != masticerror.KindNoServer {
				last = e
			}
			break
		}
		answer, f := o.dispatch(ctx, a)
		if f == nil {
			o.record(ctx, storedAnswer(answer, o.inbound.gate.limits.MaxStoredAnswerBytes))
			o.succeed(answer)
			return
		}
		if f.Sent {
			o.record(ctx, nil)
			o.fail(orderError(f))
			return
		}
		last = f.Err
		o.avoid = append(o.avoid[:len(o.avoid):len(o.avoid)], o.server)
	}
	o.release(ctx)
	o.fail(last)
}

func storedAnswer(a masticengine.Answer, limit int) *masticcall.StoredAnswer {
	n := min(len(a.Body), limit)
	return &masticcall.StoredAnswer{
		Status:      a.Status,
		ContentType: a.Header.Get("Content-Type"),
		Body:        a.Body[:n:n],
		Truncated:   n < len(a.Body),
	}
}

// record stores the outcome in the ledger. If that fails within RecordMillis, the ledger keeps
// the order as started, which later reads as unknown, never as not run.
func (o *keyedOrder) record(ctx context.Context, a *masticcall.StoredAnswer) {
	ctx, cancel := o.recordContext(ctx)
	defer cancel()
	for wait := millis(firstPollMillis); ; wait = min(2*wait, millis(maxPollMillis)) {
		err := o.inbound.gate.ledger.Record(ctx, o.key, a)
		if err == nil {
			return
		}
		if !sleep(ctx, wait) {
			o.inbound.gate.log.WithField("request", o.inbound.id).WithField("kind", masticerror.KindOf(err)).
				Warn("failed to record the outcome of an order")
			return
		}
	}
}

// release ends the reservation. It is called only if it is certain that nothing was sent.
func (o *keyedOrder) release(ctx context.Context) {
	ctx, cancel := o.recordContext(ctx)
	defer cancel()
	if err := o.inbound.gate.ledger.Release(ctx, o.key); err != nil {
		o.inbound.gate.log.WithField("request", o.inbound.id).WithField("kind", masticerror.KindOf(err)).
			Warn("failed to release the reservation of an order")
	}
}

// recordContext returns a context for a call of the ledger, which is not cancelled with ctx. Once a planned end of the host has
// ended ctx, it lasts endingRecordMillis at most.
func (o *keyedOrder) recordContext(ctx context.Context) (context.Context, context.CancelFunc) {
	recording, cancel := context.WithTimeout(context.WithoutCancel(ctx), millis(o.inbound.gate.limits.RecordMillis))
	l := &recordLimit{order: ctx, cancel: cancel}
	l.stop = context.AfterFunc(ctx, l.shorten)
	return recording, l.end
}

// recordLimit shortens the time for recording the outcome of an order.
type recordLimit struct {
	order  context.Context
	cancel context.CancelFunc
	stop   func() bool
}

func (l *recordLimit) end() {
	l.stop()
	l.cancel()
}

func (l *recordLimit) shorten() {
	if masticdrain.Error(l.order) != nil {
		time.AfterFunc(millis(endingRecordMillis), l.cancel)
	}
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// replay responds with the recorded response.
func (o *keyedOrder) replay(a masticcall.StoredAnswer) {
	h := o.inbound.writer.Header()
	h.Set(HeaderReplay, "true")
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	if a.Truncated {
		h.Set(HeaderTruncated, "true")
	}
	o.reply(statusOf(a), a.Body)
}

func statusOf(a masticcall.StoredAnswer) int {
	if a.Status == 0 {
		return http.StatusOK
	}
	return a.Status
}
