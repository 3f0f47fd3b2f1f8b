package masticagent

import (
	"context"
	"sync"
	"time"

	"masticladder/masticcall"
	"masticladder/masticclock"
	"masticladder/masticerror"
	"masticladder/masticproto"
	"masticladder/masticview"
)

// ledger implements masticcall.Ledger through the leader. Each reservation is an attempt
// of its own, so that a delayed release or record of an earlier one cannot touch a later one.
type ledger struct {
	agent *Agent

	mutex    sync.Mutex
	attempts uint64
	held     map[masticcall.OrderKey]reservation
	// checkAt is the number of reservations at which ended ones are looked for next.
	checkAt int
}

// reservation is a right to dispatch that this host holds.
type reservation struct {
	attempt  uint64
	deadline time.Time
}

// heldCheck is the least number of reservations at which ended ones are looked for.
const heldCheck = 1024

func newLedger(a *Agent) *ledger {
	return &ledger{agent: a, held: map[masticcall.OrderKey]reservation{}, checkAt: heldCheck}
}

// Reserve asks for the right to dispatch.
func (l *ledger) Reserve(ctx context.Context, k masticcall.OrderKey, request masticview.Digest, deadline time.Time) (masticcall.Reservation, error) {
	attempt := l.nextAttempt()
	bound := masticclock.Now().Add(l.agent.reservePatience)
	if deadline.Before(bound) {
		bound = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, bound)
	defer cancel()
	answer, err := l.agent.command(ctx, l.reserveCommand(k, attempt, request, deadline), l.agent.attempt)
	if err != nil {
		return masticcall.Reservation{}, l.notReserved(k, reservation{attempt: attempt, deadline: deadline}, err)
	}
	r := masticcall.Reservation{State: masticcall.OrderState(answer.GetOrderState())}
	switch r.State {
	case masticcall.OrderReserved:
		l.hold(k, reservation{attempt: attempt, deadline: deadline})
	case masticcall.OrderDone:
		r.Answer = storedAnswer(answer.GetAnswer())
	}
	return r, nil
}

func (l *ledger) reserveCommand(k masticcall.OrderKey, attempt uint64, request masticview.Digest, deadline time.Time) *masticproto.Command {
	return &masticproto.Command{Kind: &masticproto.Command_Reserve{Reserve: &masticproto.Reserve{
		Workspace:         k.Workspace,
		IdempotencyKey:    k.IdempotencyKey,
		RequestDigest:     request[:],
		Host:              l.agent.host,
		Incarnation:       l.agent.incarnation,
		Attempt:           attempt,
		RetainUntilUnixMs: masticclock.Now().Add(l.agent.orderRetention).UnixMilli(),
		DeadlineUnixMs:    deadline.UnixMilli(),
	}}}
}

// notReserved returns the error of a reservation that failed. One that may still be
// committed is ended in the background, since nothing is dispatched for it.
func (l *ledger) notReserved(k masticcall.OrderKey, r reservation, err error) error {
	if masticerror.KindOf(err) != masticerror.KindOutcomeUnknown {
		return err
	}
	l.agent.finisher.add(finishing{command: l.releaseCommand(k, r.attempt), deadline: r.deadline})
	return masticerror.Wrap(err, masticerror.KindNoQuorum, "the reservation could not be confirmed in time")
}

func (l *ledger) releaseCommand(k masticcall.OrderKey, attempt uint64) *masticproto.Command {
	return &masticproto.Command{Kind: &masticproto.Command_Release{Release: &masticproto.Release{
		Workspace:      k.Workspace,
		IdempotencyKey: k.IdempotencyKey,
		Host:           l.agent.host,
		Incarnation:    l.agent.incarnation,
		Attempt:        attempt,
	}}}
}

// Record records the outcome; a nil answer means that the outcome is unknown.
func (l *ledger) Record(ctx context.Context, k masticcall.OrderKey, answer *masticcall.StoredAnswer) error {
	held, err := l.holder(k)
	if err != nil {
		return err
	}
	record := &masticproto.Record{
		Workspace:      k.Workspace,
		IdempotencyKey: k.IdempotencyKey,
		Host:           l.agent.host,
		Incarnation:    l.agent.incarnation,
		Attempt:        held.attempt,
		Unknown:        answer == nil,
	}
	if answer != nil {
		record.Answer = &masticproto.StoredAnswer{
			Status:      int32(answer.Status),
			ContentType: answer.ContentType,
			Body:        answer.Body,
			Truncated:   answer.Truncated,
		}
	}
	return l.finish(ctx, k, held, &masticproto.Command{Kind: &masticproto.Command_Record{Record: record}})
}

// Release ends the reservation; the caller proves that nothing was sent.
func (l *ledger) Release(ctx context.Context, k masticcall.OrderKey) error {
	held, err := l.holder(k)
	if err != nil {
		return err
	}
	return l.finish(ctx, k, held, l.releaseCommand(k, held.attempt))
}

// recordBound is for how long after its deadline the outcome of an order is still offered.
const recordBound = time.Minute

// finish commits the end of a reservation. Where that is not known when ctx ends, it goes
// on in the background, and the reservation is still held.
func (l *ledger) finish(ctx context.Context, k masticcall.OrderKey, held reservation, command *masticproto.Command) error {
	_, err := l.agent.command(ctx, command, l.agent.attempt)
	if err != nil && !final(err) {
		l.agent.finisher.add(finishing{command: command, deadline: held.deadline.Add(recordBound)})
	}
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.held, k)
	return nil
}

func (l *ledger) nextAttempt() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.attempts++
	return l.attempts
}

func (l *ledger) hold(k masticcall.OrderKey, r reservation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.held) >= l.checkAt {
		l.dropEnded(masticclock.Now())
	}
	l.held[k] = r
}

// dropEnded drops what the leader has meanwhile declared unknown; the mutex is held.
func (l *ledger) dropEnded(now time.Time) {
	for k, r := range l.held {
		if now.After(r.deadline.Add(l.agent.flush)) {
			delete(l.held, k)
		}
	}
	l.checkAt = max(heldCheck, 2*len(l.held))
}

func (l *ledger) holder(k masticcall.OrderKey) (reservation, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r, ok := l.held[k]
	if !ok {
		return reservation{}, masticerror.New(masticerror.KindBadRequest, "this host holds no reservation of order %q of %q", k.IdempotencyKey, k.Workspace)
	}
	return r, nil
}

func storedAnswer(a *masticproto.StoredAnswer) masticcall.StoredAnswer {
	return masticcall.StoredAnswer{
		Status:      int(a.GetStatus()),
		ContentType: a.GetContentType(),
		Body:        a.GetBody(),
		Truncated:   a.GetTruncated(),
	}
}
