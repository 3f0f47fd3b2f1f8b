package masticgate

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"masticladder/masticcall"
	"masticladder/masticengine"
	"masticladder/masticerror"
	"masticladder/masticview"
)

const (
	maxIdempotencyKeyBytes = 255
	// firstPollMillis and maxPollMillis bound the wait between two looks at an order in flight.
	firstPollMillis = 20
	maxPollMillis   = 1_000
)

// order runs a call that may not be repeated. A caller who goes away does not end
// it: the outcome is recorded for the resend.
func (c *serviceCall) order() {
	q := c.inbound
	deadline := q.started.Add(millis(q.gate.limits.OrderMillis))
	ctx, cancel := context.WithDeadline(context.WithoutCancel(q.request.Context()), deadline)
	defer cancel()
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
			deadline:    deadline,
		}
		o.run(ctx)
	}
}

// unkeyedOrder makes one attempt, because a resend could not be told from a new order.
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

// orderError says of a failed dispatch that the outcome is unknown, unless nothing was sent.
func orderError(f *masticengine.Failure) *masticerror.Error {
	if !f.Sent {
		return f.Err
	}
	return masticerror.Wrap(f, masticerror.KindOutcomeUnknown, "the call may have run; it is not run again")
}

// keyedOrder is a call that may not be repeated and whose outcome is recorded under a key.
type keyedOrder struct {
	*serviceCall
	key      masticcall.OrderKey
	deadline time.Time
}

// digest names the call's content, so that a key is not used for two calls.
func (o *keyedOrder) digest() masticview.Digest {
	h := sha256.New()
	r := o.inbound.request
	for _, part := range []string{o.service.Name, r.Method, o.path, r.URL.RawQuery, r.Header.Get("Content-Type"), string(o.body)} {
		writePart(h, part)
	}
	var d masticview.Digest
	h.Sum(d[:0])
	return d
}

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
		o.fail(errUnknown())
	}
}

func errUnknown() *masticerror.Error {
	return masticerror.New(masticerror.KindOutcomeUnknown, "the call may have run; it is not run again")
}

// reserve asks the ledger until the order is no longer in flight elsewhere. Only
// the caller's going away or the deadline ends the wait.
func (o *keyedOrder) reserve(ctx context.Context) (masticcall.Reservation, *masticerror.Error) {
	digest := o.digest()
	for wait := millis(firstPollMillis); ; wait = min(2*wait, millis(maxPollMillis)) {
		r, err := o.inbound.gate.ledger.Reserve(ctx, o.key, digest, o.deadline)
		if err != nil {
			return r, reserveError(err)
		}
		if r.State != masticcall.OrderInFlight {
			return r, nil
		}
		if !o.pause(ctx, wait) {
			return r, errUnknown()
		}
	}
}

// reserveError keeps what the ledger says of the key. Any other error leaves open
// whether an earlier sending of the same order ran, so it does not say "not run".
func reserveError(err error) *masticerror.Error {
	e := notSent(err)
	switch e.Kind() {
	case masticerror.KindKeyReused, masticerror.KindKeyTooOld:
		return e
	default:
		return e.WithSent()
	}
}

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

// runReserved dispatches the order. It goes to another backend server only with
// proof that nothing was sent to the one before.
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
			o.record(ctx, stored(answer, o.inbound.gate.limits.MaxStoredAnswerBytes))
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

func stored(a masticengine.Answer, limit int) *masticcall.StoredAnswer {
	n := min(len(a.Body), limit)
	return &masticcall.StoredAnswer{
		Status:      a.Status,
		ContentType: a.Header.Get("Content-Type"),
		Body:        a.Body[:n:n],
		Truncated:   n < len(a.Body),
	}
}

// record stores the outcome. When it cannot be stored within the bound the ledger
// keeps the order as begun, which later reads as unknown, never as not run.
func (o *keyedOrder) record(ctx context.Context, a *masticcall.StoredAnswer) {
	ctx, cancel := o.recording(ctx)
	defer cancel()
	for wait := millis(firstPollMillis); ; wait = min(2*wait, millis(maxPollMillis)) {
		err := o.inbound.gate.ledger.Record(ctx, o.key, a)
		if err == nil {
			return
		}
		if !sleep(ctx, wait) {
			o.inbound.gate.log.WithField("request", o.inbound.id).WithField("kind", masticerror.KindOf(err)).
				Warn("outcome of an order was not recorded")
			return
		}
	}
}

// release ends the reservation after proof that nothing was sent.
func (o *keyedOrder) release(ctx context.Context) {
	ctx, cancel := o.recording(ctx)
	defer cancel()
	if err := o.inbound.gate.ledger.Release(ctx, o.key); err != nil {
		o.inbound.gate.log.WithField("request", o.inbound.id).WithField("kind", masticerror.KindOf(err)).
			Warn("reservation of an order was not released")
	}
}

func (o *keyedOrder) recording(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), millis(o.inbound.gate.limits.RecordMillis))
}

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

// replay answers with the recorded answer.
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
