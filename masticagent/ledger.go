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

// ledger implements masticcall.Ledger through the leader. Each reservation has its own attempt
// number, so that a delayed release or record of an earlier one cannot affect a later one.
type ledger struct {
	agent *Agent

	mutex        sync.Mutex
	attempts     uint64
	reservations map[masticcall.OrderKey]reservation
	// pruneSize is the number of reservations at which ended ones are removed next.
	pruneSize int
}

// reservation is a right to dispatch that this host holds.
type reservation struct {
	attempt  uint64
	deadline time.Time
}

// minPruneSize is the least number of reservations at which ended ones are removed.
const minPruneSize = 1024

func newLedger(a *Agent) *ledger {
	return &ledger{agent: a, reservations: map[masticcall.OrderKey]reservation{}, pruneSize: minPruneSize}
}

// Reserve requests the right to dispatch a call until deadline.
func (l *ledger) Reserve(ctx context.Context, k masticcall.OrderKey, request masticview.Digest, deadline time.Time) (masticcall.Reservation, error) {
	attempt := l.nextAttempt()
	waitUntil := masticclock.Now().Add(l.agent.reserveTimeout)
	if deadline.Before(waitUntil) {
		waitUntil = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, waitUntil)
	defer cancel()
	answer, err := l.agent.commit(ctx, l.reserveCommand(k, attempt, request, deadline), l.agent.attemptTimeout)
	if err != nil {
		return masticcall.Reservation{}, l.notReserved(k, reservation{attempt: attempt, deadline: deadline}, err)
	}
	r := masticcall.Reservation{State: masticcall.OrderState(answer.GetOrderState())}
	switch r.State {
	case masticcall.OrderReserved:
		l.addReservation(k, reservation{attempt: attempt, deadline: deadline})
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

// notReserved returns the error of a failed reservation. If the reservation may still be
// committed, it is released in the background, since nothing is dispatched for it.
func (l *ledger) notReserved(k masticcall.OrderKey, r reservation, err error) error {
	if masticerror.KindOf(err) != masticerror.KindOutcomeUnknown {
		return err
	}
	l.agent.commandRetrier.add(pendingCommand{command: l.releaseCommand(k, r.attempt), deadline: r.deadline})
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
	held, err := l.reservation(k)
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
	return l.end(ctx, k, held, &masticproto.Command{Kind: &masticproto.Command_Record{Record: record}})
}

// Release ends the reservation. The caller must be certain that nothing was dispatched.
func (l *ledger) Release(ctx context.Context, k masticcall.OrderKey) error {
	held, err := l.reservation(k)
	if err != nil {
		return err
	}
	return l.end(ctx, k, held, l.releaseCommand(k, held.attempt))
}

// endRetryWindow is how long after a reservation's deadline its end, a record or a release, is
// still retried.
const endRetryWindow = time.Minute

// end commits the end of a reservation. If the outcome is not known when ctx ends, it is retried
// in the background, and the reservation stays in the map until it is pruned.
func (l *ledger) end(ctx context.Context, k masticcall.OrderKey, held reservation, command *masticproto.Command) error {
	_, err := l.agent.commit(ctx, command, l.agent.attemptTimeout)
	if err != nil && !isFinal(err) {
		l.agent.commandRetrier.add(pendingCommand{command: command, deadline: held.deadline.Add(endRetryWindow)})
	}
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.reservations, k)
	return nil
}

func (l *ledger) nextAttempt() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.attempts++
	return l.attempts
}

func (l *ledger) addReservation(k masticcall.OrderKey, r reservation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.reservations) >= l.pruneSize {
		l.pruneEnded(masticclock.Now())
	}
	l.reservations[k] = r
}

// pruneEnded removes reservations whose deadline passed more than flushTimeout ago; the leader ends
// them with an unknown outcome. The caller holds the mutex.
func (l *ledger) pruneEnded(now time.Time) {
	for k, r := range l.reservations {
		if now.After(r.deadline.Add(l.agent.flushTimeout)) {
			delete(l.reservations, k)
		}
	}
	l.pruneSize = max(minPruneSize, 2*len(l.reservations))
}

func (l *ledger) reservation(k masticcall.OrderKey) (reservation, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r, ok := l.reservations[k]
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
